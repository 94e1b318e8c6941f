#include "LibCapacity/CapacityEstimate.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time constant of the decay: an engine gets about 4 requests/s from all instances together, so that some 40 observations count and the error of their
/// mean is near 15%. It is long against the age of summaries (1.2 s), so that the estimate cannot oscillate with the load that it causes.
constexpr Duration evidenceTimeConstant = std::chrono::seconds(10);
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

CapacityEstimate::CapacityEstimate() : own(evidenceTimeConstant), peers(evidenceTimeConstant)
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
}

void CapacityEstimate::setPeerEvidence(const ObservationSum &evidence, MonotonicTime now)
{
    this->peers = DecayingSum(evidenceTimeConstant);
    this->peers.add(evidence, now);
}

ObservationSum CapacityEstimate::ownEvidence(MonotonicTime now) const
{
    const ObservationSum evidence = this->own.valueAt(now);
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
