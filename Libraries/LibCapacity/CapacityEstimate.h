#pragma once

#include "LibCore/DecayingSum.h"
#include "LibCore/Time.h"

#include <optional>

namespace Godwitfork
{

/// Time that an endpoint took until a request's first output.
struct CapacityObservation {
    Duration elapsed = Duration::zero();
    /// Time expected of an endpoint of nominal speed, given the requests that were ahead when the attempt began.
    Duration expected = Duration::zero();
    /// Mean of observed over expected times at all endpoints of the service.
    double serviceSlowdown = 1;
};

/// Learned speed of one endpoint relative to its service's mean, from the observations of all instances. It follows changes within tens of seconds and
/// doesn't react to the load of a moment.
class CapacityEstimate
{
public:
    CapacityEstimate();

    void record(const CapacityObservation &observation, MonotonicTime now);
    /// Adds the recent evidence of the other instances, as the sum of what their `ownEvidence` returned. To be called for each summary, also with
    /// none.
    void addPeerEvidence(const ObservationSum &recent, MonotonicTime now);
    /// Recent evidence of this instance for the others: the relative times (sum), weighted with the seconds expected (weight). It decays within a
    /// few seconds, so that reports list few endpoints; receivers keep it for longer. Empty if it is negligible.
    ObservationSum ownEvidence(MonotonicTime now) const;
    /// Time that the endpoint takes relative to the service's mean; 1 without evidence.
    double relativeTime(MonotonicTime now) const;
    /// Weight of the evidence of all instances, in expected seconds.
    double evidenceSeconds(MonotonicTime now) const;

private:
    ObservationSum fleetEvidence(MonotonicTime now) const;

    DecayingSum own;
    /// Own evidence with the time constant of reports.
    DecayingSum recent;
    DecayingSum peers;
    /// Time of the last summary; empty before the first one.
    std::optional<MonotonicTime> lastSummary;
};

} // namespace Godwitfork
