#include "LibRollout/TrialEvidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace Godwitfork
{

namespace
{
/// Rates among which the stable versions' unknown rate of failures or slow answers is. Beforehand, high ones are less likely.
constexpr std::array<double, 17> rates = {0.002, 0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.98};
/// Exponent of the prior weight of a rate, (1 - rate)^exponent.
constexpr double priorExponent = 8;
/// Excess rates of bad versions: those that fail under load only, on part of their answers, and on most of them.
constexpr std::array<double, 3> excesses = {0.1, 0.25, 0.5};
constexpr double partExcess = 0.25;
constexpr double smallExcess = 0.1;

/// Logarithms of likelihood ratios. A single route is one of several that are looked at, so that it needs more.
constexpr double badEvidence = 5;
constexpr double badRouteEvidence = 6;
constexpr double suspectEvidence = 2;
/// For `smallExcess`: a version that fails under load only shows few failures before it is loaded for good.
constexpr double suspectSmallEvidence = 0.5;
constexpr double suspectRouteEvidence = 3.5;
/// Neighbours of an endpoint slow its answers for a while, so that slow answers come together.
constexpr double suspectSlowEvidence = 2;
constexpr double suspectSlowRouteEvidence = 3.5;
constexpr double soundEvidence = -2;
constexpr double soundRouteEvidence = -0.5;
/// Answers of the candidate from which a route must be sound by itself.
constexpr std::int64_t minRouteAnswers = 5;
/// Number of endpoints that must be affected before the version counts as the cause, because a single endpoint may itself be faulty.
constexpr int minAffectedEndpoints = 2;
/// One failure is no evidence against a version.
constexpr std::int64_t minSuspectFailures = 2;
constexpr std::int64_t minSuspectSlow = 3;
/// Timed answers below which slow ones are no evidence.
constexpr std::int64_t minTimedAnswers = 8;
constexpr std::int64_t minBadFailures = 2;
constexpr std::int64_t minBadTimedAnswers = 5;

/// Differences of mean logarithms of times: those of a candidate that is clearly slower (1.65 times), and of one that may be (1.28 times).
constexpr double clearSlowdown = 0.5;
constexpr double suspectSlowdown = 0.25;
/// Part of a difference that a single endpoint with its few answers must show to count as affected.
constexpr double endpointSlowdownShare = 0.3;
/// Differences in standard errors. Evidence is looked at many times, so the first two are high.
constexpr double clearErrors = 4;
constexpr double certainErrors = 6;
constexpr double suspectErrors = 1.5;
constexpr double soundErrors = 2;

double logOfSum(const std::array<double, rates.size()> &logarithms)
{
    const double largest = *std::max_element(logarithms.begin(), logarithms.end());
    double sum = 0;
    for (const double logarithm : logarithms) {
        sum += std::exp(logarithm - largest);
    }
    return largest + std::log(sum);
}

double logLikelihood(double rate, std::int64_t events, std::int64_t answers)
{
    return static_cast<double>(events) * std::log(rate) + static_cast<double>(answers - events) * std::log1p(-rate);
}

/// Selects the kind of event that is compared.
struct EventKind {
    std::int64_t events;
    std::int64_t answers;
};

using EventReader = EventKind (*)(const AnswerCounts &);

EventKind failures(const AnswerCounts &counts)
{
    return {std::min(counts.failures, counts.answers), counts.answers};
}

EventKind slowAnswers(const AnswerCounts &counts)
{
    return {std::min(counts.slow, counts.times.answers), counts.times.answers};
}

struct RouteEvidence {
    double total = 0;
    double worstRoute = std::numeric_limits<double>::lowest();
    /// The highest evidence of a route with several answers of the candidate.
    double worstLargeRoute = std::numeric_limits<double>::lowest();
};

RouteEvidence routeEvidence(const TrialObservations &observations, EventReader read, double excess)
{
    RouteEvidence evidence;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        const auto known = observations.stableByRoute.find(route);
        const EventKind stable = known == observations.stableByRoute.end() ? EventKind {0, 0} : read(known->second);
        const EventKind candidate = read(counts);
        const double ratio = excessEvidence(candidate.events, candidate.answers, stable.events, stable.answers, excess);
        evidence.total += ratio;
        evidence.worstRoute = std::max(evidence.worstRoute, ratio);
        // A route that mostly fails on the stable versions says nothing of the candidate.
        if (candidate.answers >= minRouteAnswers && 2 * stable.events <= stable.answers) {
            evidence.worstLargeRoute = std::max(evidence.worstLargeRoute, ratio);
        }
    }
    return evidence;
}

bool exceeds(const TrialObservations &observations, EventReader read, double total, double route)
{
    return std::any_of(excesses.begin(), excesses.end(), [&](double excess) {
        const RouteEvidence evidence = routeEvidence(observations, read, excess);
        return evidence.total >= total || evidence.worstRoute >= route;
    });
}

template<typename Predicate>
int affectedEndpoints(const TrialObservations &observations, Predicate predicate)
{
    return static_cast<int>(std::count_if(
        observations.candidateByEndpoint.begin(), observations.candidateByEndpoint.end(), [&](const auto &entry) { return predicate(entry.second); }));
}

template<typename Predicate>
bool affectsSeveralEndpoints(const TrialObservations &observations, Predicate predicate)
{
    return affectedEndpoints(observations, predicate) >= std::min<int>(minAffectedEndpoints, static_cast<int>(observations.candidateByEndpoint.size()));
}

bool hasFailures(const AnswerCounts &counts)
{
    return counts.failures > 0;
}

bool hasSlowAnswers(const AnswerCounts &counts)
{
    return counts.slow > 0;
}

bool isSlower(const std::optional<Slowdown> &slowdown, double difference, double errors)
{
    return slowdown && slowdown->difference >= difference && slowdown->difference >= errors * slowdown->error;
}

/// Whether the candidate takes longer than the stable versions, in total or on one route, and at several endpoints.
bool isSlowerAtSeveralEndpoints(const TrialObservations &observations, double difference, double errors)
{
    const TrialTotals all = totals(observations);
    const double stableMean = meanLog(all.stable.times);
    const bool isSpread = affectsSeveralEndpoints(observations, [stableMean, difference](const AnswerCounts &counts) {
        return counts.times.answers > 0 && meanLog(counts.times) - stableMean >= difference * endpointSlowdownShare;
    });
    if (!isSpread) {
        return false;
    }
    if (isSlower(slowdown(all.candidate.times, all.stable.times), difference, errors)) {
        return true;
    }
    return std::any_of(observations.candidateByRoute.begin(), observations.candidateByRoute.end(), [&](const auto &entry) {
        const auto stable = observations.stableByRoute.find(entry.first);
        return stable != observations.stableByRoute.end() && isSlower(slowdown(entry.second.times, stable->second.times), difference, errors);
    });
}

bool isSoundIn(const TrialObservations &observations, EventReader read)
{
    const RouteEvidence part = routeEvidence(observations, read, partExcess);
    return part.total <= soundEvidence && part.worstLargeRoute <= soundRouteEvidence && routeEvidence(observations, read, smallExcess).total <= 0;
}
} // namespace

// The stable rate is averaged over its posterior distribution, so that a rate that is known from few answers is evidence of nothing.
double excessEvidence(std::int64_t events, std::int64_t answers, std::int64_t stableEvents, std::int64_t stableAnswers, double excess)
{
    std::array<double, rates.size()> equal = {};
    std::array<double, rates.size()> exceeding = {};
    for (std::size_t i = 0; i < rates.size(); ++i) {
        const double posterior = priorExponent * std::log1p(-rates[i]) + logLikelihood(rates[i], stableEvents, stableAnswers);
        equal[i] = posterior + logLikelihood(rates[i], events, answers);
        exceeding[i] = posterior + logLikelihood(rates[i] + (1 - rates[i]) * excess, events, answers);
    }
    return logOfSum(exceeding) - logOfSum(equal);
}

bool isCandidateBad(const TrialObservations &observations)
{
    const TrialTotals all = totals(observations);
    const bool fails = all.candidate.failures >= minBadFailures && affectsSeveralEndpoints(observations, hasFailures)
        && exceeds(observations, failures, badEvidence, badRouteEvidence);
    const bool isSlow = all.candidate.times.answers >= minBadTimedAnswers && all.candidate.slow >= minBadFailures
        && affectsSeveralEndpoints(observations, hasSlowAnswers) && exceeds(observations, slowAnswers, badEvidence, badRouteEvidence);
    return fails || isSlow || isSlowerAtSeveralEndpoints(observations, clearSlowdown, clearErrors)
        || isSlowerAtSeveralEndpoints(observations, suspectSlowdown, certainErrors);
}

bool isCandidateBadSince(const TrialObservations &observations, const TrialObservations &sinceBefore, const TrialObservations &before)
{
    TrialObservations loaded = sinceBefore;
    loaded.stableByRoute = observations.stableByRoute;
    if (totals(loaded).candidate.failures < minBadFailures || !exceeds(loaded, failures, badEvidence, badRouteEvidence)) {
        return false;
    }
    return std::any_of(loaded.candidateByEndpoint.begin(),
                       loaded.candidateByEndpoint.end(),
                       [&](const auto &entry) {
                           const auto earlier = before.candidateByEndpoint.find(entry.first);
                           return hasFailures(entry.second) && (earlier == before.candidateByEndpoint.end() || !hasFailures(earlier->second));
                       })
        || affectsSeveralEndpoints(loaded, hasFailures);
}

bool isCandidateSuspect(const TrialObservations &observations)
{
    if (totals(observations).candidate.failures < minSuspectFailures) {
        return false;
    }
    return exceeds(observations, failures, suspectEvidence, suspectRouteEvidence)
        || routeEvidence(observations, failures, smallExcess).total >= suspectSmallEvidence;
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
    const TrialTotals all = totals(observations);
    const bool fails = affectsSeveralEndpoints(observations, hasFailures) && isCandidateSuspect(observations);
    const bool isSlow = all.candidate.times.answers >= minTimedAnswers && all.candidate.slow >= minSuspectSlow
        && affectsSeveralEndpoints(observations, hasSlowAnswers) && exceeds(observations, slowAnswers, suspectSlowEvidence, suspectSlowRouteEvidence);
    if (fails || isSlow || isSlowerAtSeveralEndpoints(observations, suspectSlowdown, suspectErrors)) {
        return TrialEvidence::Suspect;
    }
    const auto difference = slowdown(all.candidate.times, all.stable.times);
    const bool isAsFast = difference && difference->difference + soundErrors * difference->error <= clearSlowdown;
    return isAsFast && isSoundIn(observations, failures) && isSoundIn(observations, slowAnswers) ? TrialEvidence::Sound : TrialEvidence::Undecided;
}

} // namespace Godwitfork
