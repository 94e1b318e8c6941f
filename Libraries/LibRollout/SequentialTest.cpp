#include "LibRollout/SequentialTest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Godwitfork
{

namespace
{
// Probability of a false alarm for each of the two measures, ratings and errors; together 1 %.
constexpr double falseAlarmProbability = 0.005;
constexpr double missProbability = 0.01;
constexpr double badRatingFactor = 0.75;
// Number of ratings added to each bin of the reference (additive smoothing), so that a single rating in a bin that is empty in the
// reference is not decisive.
constexpr double pseudoCount = 1;
constexpr double maxTilt = 200;
constexpr int tiltBisections = 40;
constexpr double minimumErrorRate = 0.002;
constexpr double badErrorFactor = 4;
constexpr double badErrorAddition = 0.02;
constexpr double maximumErrorRate = 0.9;

double upperBoundary()
{
    return std::log((1 - missProbability) / falseAlarmProbability);
}

double lowerBoundary()
{
    return std::log(missProbability / (1 - falseAlarmProbability));
}

using Distribution = std::array<double, ratingBinCount>;

Distribution normalized(Distribution weights)
{
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double &weight : weights) {
        weight /= total;
    }
    return weights;
}

Distribution goodDistribution(const ReferenceQuality &reference)
{
    Distribution weights = {};
    for (std::size_t bin = 0; bin < weights.size(); ++bin) {
        weights[bin] = static_cast<double>(reference.ratings[bin]) + pseudoCount;
    }
    return normalized(weights);
}

double meanOf(const Distribution &distribution)
{
    double mean = 0;
    for (std::size_t bin = 0; bin < distribution.size(); ++bin) {
        mean += distribution[bin] * (static_cast<double>(bin) + 0.5) / ratingBinCount;
    }
    return mean;
}

Distribution tilted(const Distribution &good, double exponent)
{
    Distribution weights = good;
    for (std::size_t bin = 0; bin < weights.size(); ++bin) {
        weights[bin] *= std::exp(-exponent * (static_cast<double>(bin) + 0.5) / ratingBinCount);
    }
    return normalized(weights);
}

/// Returns the distribution with the bad mean that has the smallest Kullback-Leibler divergence from the good one (exponential tilting).
/// Its log-likelihood ratio is linear in the ratings, so the test depends on a bad version's mean rating and not on the shape of its
/// distribution.
Distribution badDistribution(const Distribution &good)
{
    const double badMean = meanOf(good) * badRatingFactor;
    double low = 0;
    double high = maxTilt;
    for (int i = 0; i < tiltBisections; ++i) {
        const double middle = (low + high) / 2;
        (meanOf(tilted(good, middle)) > badMean ? low : high) = middle;
    }
    return tilted(good, high);
}
} // namespace

int ratingBin(double rating)
{
    // The negated comparison is also true for NaN, which therefore falls into the lowest bin.
    if (!(rating > 0)) {
        return 0;
    }
    return static_cast<int>(std::min(rating * ratingBinCount, ratingBinCount - 1.0));
}

SequentialTest addObservation(SequentialTest test, const ReferenceQuality &reference, const CandidateObservation &observation)
{
    const Distribution good = goodDistribution(reference);
    const Distribution bad = badDistribution(good);
    double ratingRatio = 0;
    for (std::size_t bin = 0; bin < good.size(); ++bin) {
        ratingRatio += static_cast<double>(observation.ratings[bin]) * std::log(bad[bin] / good[bin]);
    }
    test.ratingEvidence += ratingRatio;
    test.ratingAlarm = std::max(0.0, test.ratingAlarm + ratingRatio);

    const double goodRate = std::clamp(reference.errorRate, minimumErrorRate, maximumErrorRate / 2);
    const double badRate = std::min(goodRate * badErrorFactor + badErrorAddition, maximumErrorRate);
    const double errors = static_cast<double>(observation.errors);
    const double successes = static_cast<double>(observation.answers) - errors;
    const double errorRatio = errors * std::log(badRate / goodRate) + successes * std::log((1 - badRate) / (1 - goodRate));
    test.errorEvidence += errorRatio;
    test.errorAlarm = std::max(0.0, test.errorAlarm + errorRatio);
    return test;
}

TestVerdict verdict(const SequentialTest &test)
{
    if (std::max(test.ratingEvidence, test.errorEvidence) >= upperBoundary()) {
        return TestVerdict::Bad;
    }
    if (test.ratingEvidence <= lowerBoundary()) {
        return TestVerdict::Good;
    }
    return TestVerdict::Undecided;
}

bool hasAlarm(const SequentialTest &test)
{
    return std::max(test.ratingAlarm, test.errorAlarm) >= upperBoundary();
}

double expectedSampleNumber(const ReferenceQuality &reference)
{
    const Distribution good = goodDistribution(reference);
    const Distribution bad = badDistribution(good);
    double information = 0;
    for (std::size_t bin = 0; bin < good.size(); ++bin) {
        information += bad[bin] * std::log(bad[bin] / good[bin]);
    }
    return ((1 - missProbability) * upperBoundary() + missProbability * lowerBoundary()) / information;
}

} // namespace Godwitfork
