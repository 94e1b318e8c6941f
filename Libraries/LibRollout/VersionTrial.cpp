#include "LibRollout/VersionTrial.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Shares of the sessions on the candidate as fractions of `TrialLimits::exposureShare`, the second one while it is not known to be sound.
constexpr double sessionExposureFactor = 0.5;
constexpr double extendedExposureFactor = 1.5;
/// Starts of the pulses, as fractions of the time limit. The evidence of one reaches all instances before the next.
constexpr std::array<double, 5> pulseStarts = {0.1, 0.22, 0.34, 0.46, 0.58};
/// Longest pulse, as a fraction of the time limit.
constexpr double maxPulse = 0.08;
/// Part of the allowed exposure that the pulses use together. The rest is for the time from the last step to a reversal.
constexpr double pulseExposure = 0.55;
/// Part of the present rate at which the traffic is assumed to go on.
constexpr double assumedRateShare = 0.8;
/// Time until answers are reported to all instances.
constexpr Duration reportDelay = std::chrono::milliseconds(600);
/// Part of an endpoint's slots up to which a pulse loads it.
constexpr double loadedSlotShare = 0.55;
/// Requests of sessions and the first pulse use at least two endpoints, since a single one may be faulty; later pulses use one, in turn.
constexpr int minComparedEndpoints = 2;

/// Times of the steps, as fractions of the time limit. Sessions may move a little after the half, because instances receive the
/// order for the trial at different times.
constexpr double sessionMoveStart = 0.53;
constexpr double lastStep = 0.93;
constexpr double earliestCompletion = 0.94;
constexpr double forcedCompletion = 0.96;

/// Time in which the instances exchange which sessions were open when the trial was ordered: two report intervals of a large fleet.
constexpr Duration sessionExchangeTime = std::chrono::milliseconds(2500);

double elapsedFraction(const TrialLimits &limits, Duration age)
{
    return limits.timeLimit > Duration::zero() ? static_cast<double>(age.count()) / static_cast<double>(limits.timeLimit.count()) : 1;
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration fractionOf(const TrialLimits &limits, double fraction)
{
    return std::chrono::duration_cast<Duration>(limits.timeLimit * fraction);
}

/// Requests per second. Answers of the last moments are not reported yet.
double requestRate(const TrialTraffic &traffic, Duration age)
{
    const Duration reported = std::max(age - reportDelay, age / 2);
    return reported > Duration::zero() ? static_cast<double>(traffic.answers) / toSeconds(reported) : 0;
}

/// Requests in progress up to which an endpoint of the candidate is loaded.
double targetLoad(const TrialTraffic &traffic)
{
    return std::max(1.0, loadedSlotShare * traffic.slots);
}

/// Share of the service's requests that loads one endpoint.
double loadingShare(const TrialTraffic &traffic)
{
    return traffic.running > 0 ? std::min(1.0, targetLoad(traffic) / traffic.running) : 1;
}
} // namespace

double allowedExposure(const TrialLimits &limits, const TrialTraffic &traffic, Duration age)
{
    const double left = toSeconds(std::max(Duration::zero(), limits.timeLimit - age));
    const double requests = static_cast<double>(traffic.answers) + assumedRateShare * requestRate(traffic, age) * left;
    return limits.exposureShare * requests + limits.exposureTolerance;
}

TrialProgress advancePulses(TrialProgress progress, const TrialLimits &limits, const TrialTraffic &traffic, Duration age)
{
    const double elapsed = elapsedFraction(limits, age);
    const auto due = static_cast<int>(std::count_if(pulseStarts.begin(), pulseStarts.end(), [elapsed](double start) { return elapsed >= start; }));
    if (due <= progress.pulses || progress.isAccepted) {
        return progress;
    }
    progress.pulses = due;
    const double start = pulseStarts[static_cast<std::size_t>(due - 1)];
    const double part = static_cast<double>(due) / static_cast<double>(pulseStarts.size());
    const double left = pulseExposure * part * allowedExposure(limits, traffic, age) - static_cast<double>(traffic.candidateAnswers);
    const double rate = requestRate(traffic, age) * loadingShare(traffic);
    const Duration longest = fractionOf(limits, maxPulse);
    Duration length = longest;
    if (rate > 0) {
        length = std::min(longest, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(0.0, left) / rate)));
    }
    // A late look, after a restart or a freeze, does not begin the pulse anew.
    progress.pulseEnd = fractionOf(limits, start) + length;
    return progress;
}

CandidatePlan candidatePlan(const TrialLimits &limits, const TrialProgress &progress, const TrialTraffic &traffic, Duration age, SessionUse use)
{
    CandidatePlan plan;
    if (progress.isAccepted || elapsedFraction(limits, age) >= forcedCompletion) {
        plan.share = 1;
        return plan;
    }
    if (use == SessionUse::WithoutSession) {
        const bool isPulse = progress.pulses > 0 && age < progress.pulseEnd;
        plan.share = isPulse ? loadingShare(traffic) : 0;
        plan.firstEndpoint = std::max(0, progress.pulses - 1);
        plan.endpointCount = progress.pulses <= 1 ? minComparedEndpoints : 1;
        return plan;
    }
    const bool isExtended = maySessionsMove(limits, age) && !progress.isSound;
    plan.share = std::min(1.0, limits.exposureShare * (isExtended ? extendedExposureFactor : sessionExposureFactor));
    plan.endpointCount = std::max(minComparedEndpoints, static_cast<int>(std::lround(plan.share * traffic.stableEndpoints)));
    return plan;
}

TrialDecision decideTrial(const TrialLimits &limits, Duration age, TrialEvidence evidence)
{
    if (elapsedFraction(limits, age) < lastStep) {
        return TrialDecision::Continue;
    }
    return evidence == TrialEvidence::Suspect ? TrialDecision::Reject : TrialDecision::Accept;
}

bool isExchangingSessions(Duration age)
{
    return age < sessionExchangeTime;
}

bool maySessionsMove(const TrialLimits &limits, Duration age)
{
    return elapsedFraction(limits, age) >= sessionMoveStart;
}

bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning)
{
    const double elapsed = elapsedFraction(limits, age);
    return elapsed >= forcedCompletion || (elapsed >= earliestCompletion && stableRequestsRunning == 0);
}

} // namespace Godwitfork
