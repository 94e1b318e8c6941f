#include "LibOverload/OverloadControl.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Factor by which the forecast for an endpoint must exceed a limit before it counts, since summaries of its load are up to 1.2 s old.
constexpr double clearFactor = 1.25;
/// Age of the summary up to which the load of the endpoints is known; the other instances' load is dropped at the same age.
constexpr Duration maxSummaryAge = std::chrono::milliseconds(2500);
/// Largest age of the sums in a summary at its arrival.
constexpr Duration reportAge = std::chrono::milliseconds(1200);
/// Part of its objective after which a wait puts a more urgent request at risk. The rest covers the spread of the waits and the age of the summary.
constexpr double riskShare = 0.6;
/// Time that a request which is held back keeps in reserve for its objective.
constexpr Duration deferralReserve = std::chrono::milliseconds(300);
/// Bounds of the time after which a request that is held back is decided on again. The random part keeps instances from sending all at once.
constexpr Duration minRecheckDelay = std::chrono::milliseconds(100);
constexpr Duration maxRecheckDelay = std::chrono::milliseconds(300);

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

// Under overload the learned prompt times include waits and may be a hundred times too long; the forecast is corrected for that, the waits of the pool are not.
Duration atObservedSpeed(Duration wait, const AdmissionRequest &request)
{
    if (request.nominalFirstOutput <= request.firstOutput) {
        return wait;
    }
    return scaled(wait, static_cast<double>(request.firstOutput.count()) / static_cast<double>(request.nominalFirstOutput.count()));
}

/// Age of what is known of the endpoints' load. Without a usable summary that is this instance's own load, which is current.
Duration loadAge(const EndpointLoads &loads, MonotonicTime now)
{
    const Duration summaryAge = loads.summaryAge(now);
    return summaryAge > maxSummaryAge ? Duration::zero() : summaryAge + reportAge;
}

// Time until the first output that a refusal relies on. The forecast of one endpoint rests on summaries that miss what other instances have sent since, and may
// be several times too long; the mean of the observed waits lags behind a growing backlog. Both must exceed a limit.
Duration clearFirstOutput(const AdmissionRequest &request)
{
    return std::min(scaled(request.firstOutput, 1 / clearFactor), request.work + request.observedWait);
}
} // namespace

const char *admissionOutcomeName(AdmissionOutcome outcome)
{
    switch (outcome) {
    case AdmissionOutcome::Admitted:
        return "admitted";
    case AdmissionOutcome::AdmittedUnloaded:
        return "admitted_unloaded";
    case AdmissionOutcome::Deferred:
        return "deferred";
    case AdmissionOutcome::RefusedDeadline:
        return "refused_deadline";
    case AdmissionOutcome::RefusedMemory:
        return "refused_memory";
    case AdmissionOutcome::RefusedTooLarge:
        return "refused_too_large";
    }
    return "";
}

bool isRefusal(AdmissionOutcome outcome)
{
    return outcome >= AdmissionOutcome::RefusedDeadline;
}

bool OverloadControl::missesDeadline(const AdmissionRequest &request)
{
    return clearFirstOutput(request) + request.outputTime > request.remaining;
}

void OverloadControl::recordDemand(const AdmissionRequest &request, MonotonicTime now)
{
    this->demands[request.service].record(request.kind, request.priority, request.objective, request.work / std::max(1, request.parallel), now);
}

AdmissionDecision OverloadControl::decide(const AdmissionRequest &request, const PoolState &pool, MonotonicTime now) const
{
    AdmissionDecision decision;
    const bool cannotComplete = missesDeadline(request);
    if (!cannotComplete && !this->givesWay(request, pool, now)) {
        return decision;
    }
    decision.view = viewPool(pool.endpoints, pool.loads, pool.kind, request.work);
    decision.view.leastWait = atObservedSpeed(decision.view.leastWait, request);
    decision.view.meanWait = atObservedSpeed(decision.view.meanWait, request);
    decision.outcome = AdmissionOutcome::AdmittedUnloaded;
    if (cannotComplete && permitsRefusal(decision.view, loadAge(pool.loads, now))) {
        decision.outcome = AdmissionOutcome::RefusedDeadline;
    } else if (!cannotComplete && isLoaded(decision.view)) {
        decision.outcome = AdmissionOutcome::Deferred;
    }
    return decision;
}

// Endpoints work in the order of arrival, so a request that has time to spare is held back while its work would delay requests with less time.
bool OverloadControl::givesWay(const AdmissionRequest &request, const PoolState &pool, MonotonicTime now) const
{
    const auto demand = this->demands.find(request.service);
    const Duration wait = std::max(Duration::zero(), request.firstOutput - request.work);
    const Duration latest = request.untilObjective - scaled(request.firstOutput, clearFactor) - deferralReserve;
    if (latest <= Duration::zero() || demand == this->demands.end() || pool.loads.summaryAge(now) > maxSummaryAge) {
        return false;
    }
    return demand->second.isUrgentAtRisk(request.priority, wait, riskShare, now);
}

Duration OverloadControl::recheckDelay(RandomSource &random)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(minRecheckDelay.count(), maxRecheckDelay.count())(random));
}

void OverloadControl::count(const std::string &kind, AdmissionOutcome outcome)
{
    ++this->outcomes[{kind, admissionOutcomeName(outcome)}];
}

const std::map<std::pair<std::string, std::string>, std::uint64_t> &OverloadControl::counts() const
{
    return this->outcomes;
}

} // namespace Godwitfork
