#include "LibRollout/VersionTrial.h"

#include <algorithm>
#include <cmath>

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
/// Ratio of the time of an answer to the expected one above which it counts as slow.
constexpr double slowFactor = 3;
constexpr std::int64_t minSlowAnswers = 5;
/// Difference of the shares of slow answers below which a candidate is not worse.
constexpr double moreSlowShare = 0.1;
constexpr double slowShareBound = 0.4;
/// Number of endpoints that must be affected before the version counts as the cause, because a single endpoint may itself be faulty.
constexpr int minAffectedEndpoints = 2;

/// Answers of a version from which the mean of their times is used.
constexpr std::int64_t minTimedAnswers = 8;
/// Differences of mean logarithms of times: those of a candidate that is clearly slower (1.65 times), and of one that may be (1.16 times). A
/// candidate has fewer requests in progress than the stable versions and is therefore faster if it is sound.
constexpr double clearSlowdown = 0.5;
constexpr double suspectSlowdown = 0.15;
/// Difference that is certain in a large fleet, with many answers (1.28 times).
constexpr double certainSlowdown = 0.25;
/// Part of a difference that a single endpoint with its few answers must show to count as affected.
constexpr double endpointSlowdownShare = 0.3;
/// Differences in standard errors. Evidence is looked at many times, so the first is high.
constexpr double clearErrors = 4;
constexpr double certainErrors = 6;
constexpr double suspectErrors = 1;
constexpr double soundErrors = 2;
/// Lower bound of the variance of few answers, whose own variance is uncertain.
constexpr double minVariance = 0.1;
constexpr double logUnits = 1000;
/// Logarithms beyond this bound come from answers whose expected time was wrong.
constexpr double maxLog = 4;

/// Share of the sessions on the candidate before `secondStepStart`, as a fraction of `TrialLimits::exposureShare`.
constexpr double firstHalfExposureFactor = 0.55;
/// Times of the steps, as fractions of the time limit. The second step starts a little after the half, because instances receive the
/// order for the trial at different times.
constexpr double secondStepStart = 0.53;
constexpr double secondStepShare = 0.3;
/// Part of `TrialLimits::exposureShare` of all answers that the candidate has before its share may not grow; the rest is for requests in progress.
constexpr double exposureUseFactor = 0.7;
constexpr double lastStepStart = 0.61;
constexpr double earliestCompletion = 0.72;
constexpr double decisionTime = 0.75;
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
    return counts.slow >= minSlowAnswers && ratio(counts.slow, counts.times.answers) >= slowShareBound + ratio(stable.slow, stable.times.answers);
}

/// Whether the share of slow answers is higher than that of the stable versions, by `errors` standard errors of a difference of shares.
bool hasMoreSlowAnswers(const AnswerCounts &counts, const AnswerCounts &stable, double errors)
{
    if (counts.times.answers < minTimedAnswers || stable.times.answers < minTimedAnswers) {
        return false;
    }
    const double difference = ratio(counts.slow, counts.times.answers) - ratio(stable.slow, stable.times.answers);
    const double share = ratio(counts.slow + stable.slow, counts.times.answers + stable.times.answers);
    const double perAnswer = 1.0 / static_cast<double>(counts.times.answers) + 1.0 / static_cast<double>(stable.times.answers);
    return difference >= moreSlowShare && difference >= errors * std::sqrt(share * (1 - share) * perAnswer);
}

double mean(const RelativeTimes &times)
{
    return static_cast<double>(times.logSum) / logUnits / static_cast<double>(std::max<std::int64_t>(times.answers, 1));
}

double variance(const RelativeTimes &times)
{
    const double average = mean(times);
    const double squares = static_cast<double>(times.logSquareSum) / logUnits / static_cast<double>(std::max<std::int64_t>(times.answers, 1));
    return std::max(squares - average * average, minVariance);
}

bool isSlower(const std::optional<Slowdown> &slowdown, double difference, double errors)
{
    return slowdown && slowdown->difference >= difference && slowdown->difference >= errors * slowdown->error;
}

void addCounts(TrialObservations &observations, const AnswerObservation &answer, const AnswerCounts &counts)
{
    if (!answer.isCandidate) {
        observations.stableByRoute[answer.route] += counts;
        return;
    }
    observations.candidateByRoute[answer.route] += counts;
    observations.candidateByEndpoint[answer.endpoint] += counts;
}

template<typename Predicate>
bool affectsSeveralEndpoints(const std::map<std::string, AnswerCounts> &endpoints, Predicate predicate)
{
    const auto affected = std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &entry) { return predicate(entry.second); });
    return affected >= std::min<std::ptrdiff_t>(minAffectedEndpoints, static_cast<std::ptrdiff_t>(endpoints.size()));
}
} // namespace

RelativeTimes &RelativeTimes::operator+=(const RelativeTimes &other)
{
    this->answers += other.answers;
    this->logSum += other.logSum;
    this->logSquareSum += other.logSquareSum;
    return *this;
}

void recordTime(RelativeTimes &times, double relativeTime)
{
    const double logarithm = std::clamp(std::log(std::max(relativeTime, std::exp(-maxLog))), -maxLog, maxLog);
    ++times.answers;
    times.logSum += std::llround(logarithm * logUnits);
    times.logSquareSum += std::llround(logarithm * logarithm * logUnits);
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    this->answers += other.answers;
    this->failures += other.failures;
    this->slow += other.slow;
    this->times += other.times;
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
    for (const auto &[route, counts] : other.stableByRoute) {
        this->stableByRoute[route] += counts;
    }
    return *this;
}

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer)
{
    addCounts(observations, answer, {1, answer.isFailure ? 1 : 0, 0, {}});
}

void recordAnswerTime(TrialObservations &observations, const AnswerObservation &answer, double relativeTime)
{
    AnswerCounts counts;
    counts.slow = relativeTime > slowFactor ? 1 : 0;
    recordTime(counts.times, relativeTime);
    addCounts(observations, answer, counts);
}

TrialTotals totals(const TrialObservations &observations)
{
    TrialTotals totals;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        totals.candidate += counts;
    }
    for (const auto &[route, counts] : observations.stableByRoute) {
        totals.stable += counts;
    }
    return totals;
}

// The two-sample test of Welch, on logarithms, since answer times are spread over orders of magnitude.
std::optional<Slowdown> slowdown(const RelativeTimes &candidate, const RelativeTimes &stable)
{
    if (candidate.answers < minTimedAnswers || stable.answers < minTimedAnswers) {
        return std::nullopt;
    }
    const double error = std::sqrt(variance(candidate) / static_cast<double>(candidate.answers) + variance(stable) / static_cast<double>(stable.answers));
    return Slowdown {mean(candidate) - mean(stable), error};
}

namespace
{
/// Whether the candidate takes longer than the stable versions, in total or on one route, and at several endpoints.
bool isSlowerAtSeveralEndpoints(const TrialObservations &observations, double difference, double errors)
{
    const TrialTotals all = totals(observations);
    const double stableMean = mean(all.stable.times);
    const bool isSpread = affectsSeveralEndpoints(observations.candidateByEndpoint, [stableMean, difference](const AnswerCounts &counts) {
        return counts.times.answers > 0 && mean(counts.times) - stableMean >= difference * endpointSlowdownShare;
    });
    if (!isSpread) {
        return false;
    }
    // Few slow answers change the mean little; many answers that are somewhat slower change their share little.
    if (isSlower(slowdown(all.candidate.times, all.stable.times), difference, errors) || hasMoreSlowAnswers(all.candidate, all.stable, errors)) {
        return true;
    }
    return std::any_of(observations.candidateByRoute.begin(), observations.candidateByRoute.end(), [&](const auto &entry) {
        const auto stable = observations.stableByRoute.find(entry.first);
        return stable != observations.stableByRoute.end() && isSlower(slowdown(entry.second.times, stable->second.times), difference, errors);
    });
}

bool failsAtSeveralEndpoints(const TrialObservations &observations)
{
    return affectsSeveralEndpoints(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.failures > 0; });
}
} // namespace

bool isCandidateBad(const TrialObservations &observations)
{
    const bool isSlowAtSeveralEndpoints = affectsSeveralEndpoints(observations.candidateByEndpoint, [](const AnswerCounts &counts) { return counts.slow > 0; });
    const TrialTotals all = totals(observations);
    bool failsOnRoute = false;
    bool isSlowOnRoute = false;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        failsOnRoute = failsOnRoute || isFailing(counts, all.stable);
        isSlowOnRoute = isSlowOnRoute || isSlow(counts, all.stable);
    }
    return (failsAtSeveralEndpoints(observations) && (failsOnRoute || isFailing(all.candidate, all.stable)))
        || (isSlowAtSeveralEndpoints && (isSlowOnRoute || isSlow(all.candidate, all.stable)))
        || isSlowerAtSeveralEndpoints(observations, clearSlowdown, clearErrors) || isSlowerAtSeveralEndpoints(observations, certainSlowdown, certainErrors);
}

bool isCandidateSuspect(const TrialObservations &observations)
{
    const TrialTotals all = totals(observations);
    return isFailing(all.candidate, all.stable, minSuspectFailures);
}

const char *trialEvidenceName(TrialEvidence evidence)
{
    switch (evidence) {
    case TrialEvidence::Undecided:
        return "undecided";
    case TrialEvidence::Sound:
        return "sound";
    case TrialEvidence::Suspect:
        return "suspect";
    }
    return "undecided";
}

TrialEvidence trialEvidence(const TrialObservations &observations)
{
    const bool fails = failsAtSeveralEndpoints(observations) && isCandidateSuspect(observations);
    if (fails || isSlowerAtSeveralEndpoints(observations, suspectSlowdown, suspectErrors)) {
        return TrialEvidence::Suspect;
    }
    const TrialTotals all = totals(observations);
    const auto difference = slowdown(all.candidate.times, all.stable.times);
    const bool isAsFast = difference && difference->difference - suspectSlowdown <= -soundErrors * difference->error;
    return isAsFast ? TrialEvidence::Sound : TrialEvidence::Undecided;
}

double candidateShare(const TrialLimits &limits, Duration age, const TrialProgress &progress)
{
    const double elapsed = elapsedFraction(limits, age);
    if (progress.isAccepted || elapsed >= decisionTime) {
        return 1;
    }
    return elapsed >= secondStepStart && !progress.isExposureUsed ? secondStepShare : limits.exposureShare * firstHalfExposureFactor;
}

bool isExposureUsed(const TrialLimits &limits, const TrialObservations &observations)
{
    const TrialTotals all = totals(observations);
    const auto answers = static_cast<double>(all.candidate.answers + all.stable.answers);
    return static_cast<double>(all.candidate.answers) > limits.exposureShare * exposureUseFactor * answers;
}

TrialDecision decideTrial(const TrialLimits &limits, Duration age, TrialEvidence evidence)
{
    const double elapsed = elapsedFraction(limits, age);
    if (elapsed >= decisionTime) {
        return evidence == TrialEvidence::Suspect ? TrialDecision::Reject : TrialDecision::Accept;
    }
    return elapsed >= lastStepStart && evidence == TrialEvidence::Sound ? TrialDecision::Accept : TrialDecision::Continue;
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
