#include "LibRollout/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
// Half of the 1 % of false alarms for each of the two measures.
constexpr double falseAlarmShare = 0.005;
constexpr double missedShare = 0.01;
constexpr double badRatingFactor = 0.75;
// A sample of equal ratings must not make a single lower rating decisive.
constexpr double minimumVariance = 0.0025;
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

double varianceOf(const ReferenceQuality &reference)
{
    return std::max(reference.ratingVariance, minimumVariance);
}
} // namespace

SequentialTest observe(SequentialTest test, const ReferenceQuality &reference, const CandidateObservation &observation)
{
    const double good = reference.meanRating;
    const double bad = good * badRatingFactor;
    const double ratings = static_cast<double>(observation.ratings);
    const double ratingRatio = (good - bad) / varianceOf(reference) * (ratings * (good + bad) / 2 - observation.ratingSum);
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
    const double difference = reference.meanRating * (1 - badRatingFactor);
    const double information = difference * difference / (2 * varianceOf(reference));
    return ((1 - missedShare) * upperBoundary() + missedShare * lowerBoundary()) / information;
}

} // namespace Godwitfork
