#include "LibCapacity/CapacityEstimate.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time constant of the decay: an engine gets about 4 requests/s from all instances together, so that some 40 observations count and the error of their
/// mean is near 15%. It is long against the age of summaries (1.2 s), so that the estimate cannot oscillate with the load that it causes.
constexpr Duration evidenceTimeConstant = std::chrono::seconds(10);
/// Time constant of the evidence in reports. With the longer one a report would list an endpoint for half a minute after a request to it.
constexpr Duration reportTimeConstant = std::chrono::seconds(2);
/// Bounds of one observation relative to the service's mean, so that one slow request does not make an endpoint slow.
constexpr double maxObservedRelativeTime = 5;
/// Largest weight of one observation: a request behind a long queue says more, but the requests behind the same queue say the same.
constexpr double maxObservedSeconds = 0.5;
/// Weight of the prior of 1, in expected seconds: about four requests of an idle engine.
constexpr double priorSeconds = 0.25;
/// Evidence below this weight, a quarter of a short request's, is not sent to other instances.
constexpr double minReportedSeconds = 0.016;
/// Range of the estimate.
constexpr double minRelativeTime = 0.2;
constexpr double maxRelativeTime = 5;

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}
} // namespace

CapacityEstimate::CapacityEstimate() : own(evidenceTimeConstant), recent(reportTimeConstant), peers(evidenceTimeConstant)
{
}

void CapacityEstimate::record(const CapacityObservation &observation, MonotonicTime now)
{
    if (observation.expected <= Duration::zero() || observation.serviceSlowdown <= 0) {
        return;
    }
    const double expected = toSeconds(observation.expected);
    // Dividing by the service's mean takes the load that all endpoints have in common out of the observation.
    const double relativeTime = std::clamp(toSeconds(observation.elapsed) / (expected * observation.serviceSlowdown), 0.0, maxObservedRelativeTime);
    const double weight = std::min(expected, maxObservedSeconds);
    this->own.add({relativeTime * weight, weight}, now);
    this->recent.add({relativeTime * weight, weight}, now);
}

void CapacityEstimate::addPeerEvidence(const ObservationSum &newEvidence, MonotonicTime now)
{
    // An observation counts in each summary with what is left of it, so the integral over time is the observation times the time constant. The
    // first summary, and one after a longer pause, count for the time constant.
    const Duration sinceLast = this->lastSummary ? std::min(now - *this->lastSummary, reportTimeConstant) : reportTimeConstant;
    const double share = toSeconds(sinceLast) / toSeconds(reportTimeConstant);
    if (newEvidence.weight > 0) {
        this->peers.add({newEvidence.sum * share, newEvidence.weight * share}, now);
    }
    this->lastSummary = now;
}

ObservationSum CapacityEstimate::ownEvidence(MonotonicTime now) const
{
    const ObservationSum evidence = this->recent.valueAt(now);
    return evidence.weight < minReportedSeconds ? ObservationSum() : evidence;
}

ObservationSum CapacityEstimate::fleetEvidence(MonotonicTime now) const
{
    ObservationSum total = this->own.valueAt(now);
    total += this->peers.valueAt(now);
    return total;
}

double CapacityEstimate::relativeTime(MonotonicTime now) const
{
    return std::clamp(meanWithPrior(this->fleetEvidence(now), 1, priorSeconds), minRelativeTime, maxRelativeTime);
}

double CapacityEstimate::evidenceSeconds(MonotonicTime now) const
{
    return this->fleetEvidence(now).weight;
}

} // namespace Godwitfork
