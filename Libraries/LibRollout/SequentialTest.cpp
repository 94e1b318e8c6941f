#include "LibRollout/SequentialTest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Godwitfork
{

namespace
{
// Half of the 1 % of false alarms for each of the two measures.
constexpr double falseAlarmShare = 0.005;
constexpr double missedShare = 0.01;
constexpr double badRatingFactor = 0.75;
// Ratings added to each bin of the reference, so that a rating that the reference has never shown is not decisive
// alone.
constexpr double addedRatings = 1;
constexpr double highestTilt = 200;
constexpr int tiltBisections = 40;
constexpr double minimumErrorRate = 0.002;
constexpr double badErrorFactor = 4;
constexpr double badErrorAddition = 0.02;
constexpr double maximumErrorRate = 0.9;

double upperBoundary()
{
    return std::log((1 - missedShare) / falseAlarmShare);
}

double lowerBoundary()
{
    return std::log(missedShare / (1 - falseAlarmShare));
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
        weights[bin] = static_cast<double>(reference.ratings[bin]) + addedRatings;
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

/// Of all distributions with the bad mean, the one closest to the good one (exponential tilting). Its likelihood ratio
/// does not depend on how exactly a bad version's ratings are distributed.
Distribution badDistribution(const Distribution &good)
{
    const double badMean = meanOf(good) * badRatingFactor;
    double low = 0;
    double high = highestTilt;
    for (int i = 0; i < tiltBisections; ++i) {
        const double middle = (low + high) / 2;
        (meanOf(tilted(good, middle)) > badMean ? low : high) = middle;
    }
    return tilted(good, high);
}
} // namespace

int ratingBin(double rating)
{
    // The negated comparison also sends NaN to the lowest bin.
    if (!(rating > 0)) {
        return 0;
    }
    return static_cast<int>(std::min(rating * ratingBinCount, ratingBinCount - 1.0));
}

SequentialTest observe(SequentialTest test, const ReferenceQuality &reference, const CandidateObservation &observation)
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
    return ((1 - missedShare) * upperBoundary() + missedShare * lowerBoundary()) / information;
}

} // namespace Godwitfork
