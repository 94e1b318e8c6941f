#include "LibRollout/VersionTrial.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Fewer failures happen by chance at a good version.
constexpr std::int64_t minFailures = 4;
/// Failure share above which a version is bad if the stable versions show no failures.
constexpr double failureShareBound = 0.15;
/// Failures of the stable versions count twice, since few answers of the candidate scatter widely.
constexpr double stableFailureWeight = 2;
constexpr std::int64_t minSlowAnswers = 5;
constexpr double slowShareBound = 0.4;
/// Endpoints that must show the trouble; a single one may be faulty by itself.
constexpr int minTroubledEndpoints = 2;

/// Part of the allowed exposure that the first half uses, over the whole time limit.
constexpr double firstHalfExposure = 0.55;
/// The steps stand a little after the half, since instances learn of the order at different times.
constexpr double secondStep = 0.53;
constexpr double secondStepShare = 0.3;
constexpr double lastStep = 0.61;
constexpr double firstCompletion = 0.72;
constexpr double lastCompletion = 0.86;

double fraction(const TrialLimits &limits, Duration age)
{
    return limits.timeLimit > Duration::zero() ? static_cast<double>(age.count()) / static_cast<double>(limits.timeLimit.count()) : 1;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

bool isFailing(const AnswerCounts &counts, const AnswerCounts &stable)
{
    return counts.failures >= minFailures
        && share(counts.failures, counts.answers) >= failureShareBound + stableFailureWeight * share(stable.failures, stable.answers);
}

bool isSlow(const AnswerCounts &counts, const AnswerCounts &stable)
{
    return counts.slow >= minSlowAnswers && share(counts.slow, counts.answers) >= slowShareBound + share(stable.slow, stable.answers);
}

template<typename Predicate>
bool isSeenAtSeveral(const std::map<std::string, AnswerCounts> &endpoints, Predicate predicate)
{
    const auto troubled = std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &entry) { return predicate(entry.second); });
    return troubled >= std::min<std::ptrdiff_t>(minTroubledEndpoints, static_cast<std::ptrdiff_t>(endpoints.size()));
}
} // namespace

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    this->answers += other.answers;
    this->failures += other.failures;
    this->slow += other.slow;
    return *this;
}

TrialObservations &TrialObservations::operator+=(const TrialObservations &other)
{
    for (const auto &[route, counts] : other.candidateByRoute) {
        this->candidateByRoute[route] += counts;
    }
    for (const auto &[endpoint, counts] : other.candidateByEndpoint) {
        this->candidateByEndpoint[endpoint] += counts;
    }
    this->stable += other.stable;
    return *this;
}

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer)
{
    const AnswerCounts counts {1, answer.isFailure ? 1 : 0, answer.isSlow ? 1 : 0};
    if (!answer.isCandidate) {
        observations.stable += counts;
        return;
    }
    observations.candidateByRoute[answer.route] += counts;
    observations.candidateByEndpoint[answer.endpoint] += counts;
}

bool isCandidateBad(const TrialObservations &observations)
{
    const bool failsAtSeveral = isSeenAtSeveral(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.failures > 0; });
    const bool slowAtSeveral = isSeenAtSeveral(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.slow > 0; });
    AnswerCounts total;
    bool failsOnRoute = false;
    bool slowOnRoute = false;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        total += counts;
        failsOnRoute = failsOnRoute || isFailing(counts, observations.stable);
        slowOnRoute = slowOnRoute || isSlow(counts, observations.stable);
    }
    return (failsAtSeveral && (failsOnRoute || isFailing(total, observations.stable)))
        || (slowAtSeveral && (slowOnRoute || isSlow(total, observations.stable)));
}

double candidateShare(const TrialLimits &limits, Duration age)
{
    const double elapsed = fraction(limits, age);
    if (elapsed >= lastStep) {
        return 1;
    }
    return elapsed >= secondStep ? secondStepShare : limits.exposureShare * firstHalfExposure;
}

bool maySessionsMove(const TrialLimits &limits, Duration age)
{
    return fraction(limits, age) >= secondStep;
}

bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning)
{
    const double elapsed = fraction(limits, age);
    return elapsed >= lastCompletion || (elapsed >= firstCompletion && stableRequestsRunning == 0);
}

} // namespace Godwitfork
