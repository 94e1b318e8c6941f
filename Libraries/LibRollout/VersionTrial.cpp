#include "LibRollout/VersionTrial.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Fewer failures also occur by chance with a good version.
constexpr std::int64_t minFailures = 4;
/// Failures from which a candidate is suspected; one failure is no evidence against the version.
constexpr std::int64_t minSuspectFailures = 2;
/// Share of failures, 0 to 1, from which a candidate is bad if the stable versions have no failures.
constexpr double failureShareBound = 0.15;
/// Weight of the stable versions' failure share in the threshold. It is above 1 because the share over the candidate's few answers has
/// a high variance.
constexpr double stableFailureWeight = 2;
constexpr std::int64_t minSlowAnswers = 5;
constexpr double slowShareBound = 0.4;
/// Number of endpoints that must be affected before the version counts as the cause, because a single endpoint may itself be faulty.
constexpr int minAffectedEndpoints = 2;

/// Share of the sessions on the candidate before `secondStepStart`, as a fraction of `TrialLimits::exposureShare`.
constexpr double firstHalfExposureFactor = 0.55;
/// Times of the steps, as fractions of the time limit. The second step starts a little after the half, because instances receive the
/// order for the trial at different times.
constexpr double secondStepStart = 0.53;
constexpr double secondStepShare = 0.3;
constexpr double lastStepStart = 0.61;
constexpr double earliestCompletion = 0.72;
constexpr double forcedCompletion = 0.86;

/// Time in which the instances exchange which sessions were open when the trial was ordered: two report intervals of a large fleet.
constexpr Duration sessionExchangeTime = std::chrono::milliseconds(2500);

double elapsedFraction(const TrialLimits &limits, Duration age)
{
    return limits.timeLimit > Duration::zero() ? static_cast<double>(age.count()) / static_cast<double>(limits.timeLimit.count()) : 1;
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

bool isFailing(const AnswerCounts &counts, const AnswerCounts &stable, std::int64_t leastFailures = minFailures)
{
    return counts.failures >= leastFailures
        && ratio(counts.failures, counts.answers) >= failureShareBound + stableFailureWeight * ratio(stable.failures, stable.answers);
}

bool isSlow(const AnswerCounts &counts, const AnswerCounts &stable)
{
    return counts.slow >= minSlowAnswers && ratio(counts.slow, counts.answers) >= slowShareBound + ratio(stable.slow, stable.answers);
}

template<typename Predicate>
bool affectsSeveralEndpoints(const std::map<std::string, AnswerCounts> &endpoints, Predicate predicate)
{
    const auto affected = std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &entry) { return predicate(entry.second); });
    return affected >= std::min<std::ptrdiff_t>(minAffectedEndpoints, static_cast<std::ptrdiff_t>(endpoints.size()));
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
    const bool failsAtSeveralEndpoints =
        affectsSeveralEndpoints(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.failures > 0; });
    const bool isSlowAtSeveralEndpoints = affectsSeveralEndpoints(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.slow > 0; });
    AnswerCounts total;
    bool failsOnRoute = false;
    bool isSlowOnRoute = false;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        total += counts;
        failsOnRoute = failsOnRoute || isFailing(counts, observations.stable);
        isSlowOnRoute = isSlowOnRoute || isSlow(counts, observations.stable);
    }
    return (failsAtSeveralEndpoints && (failsOnRoute || isFailing(total, observations.stable)))
        || (isSlowAtSeveralEndpoints && (isSlowOnRoute || isSlow(total, observations.stable)));
}

bool isCandidateSuspect(const TrialObservations &observations)
{
    AnswerCounts total;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        total += counts;
    }
    return isFailing(total, observations.stable, minSuspectFailures);
}

double candidateShare(const TrialLimits &limits, Duration age)
{
    const double elapsed = elapsedFraction(limits, age);
    if (elapsed >= lastStepStart) {
        return 1;
    }
    return elapsed >= secondStepStart ? secondStepShare : limits.exposureShare * firstHalfExposureFactor;
}

bool isExchangingSessions(Duration age)
{
    return age < sessionExchangeTime;
}

bool maySessionsMove(const TrialLimits &limits, Duration age)
{
    return elapsedFraction(limits, age) >= secondStepStart;
}

bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning)
{
    const double elapsed = elapsedFraction(limits, age);
    return elapsed >= forcedCompletion || (elapsed >= earliestCompletion && stableRequestsRunning == 0);
}

} // namespace Godwitfork
