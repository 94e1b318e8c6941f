#pragma once

#include "LibColdStart/ColdShare.h"
#include "LibColdStart/FleetMemory.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

/// What the registration of an endpoint says of its start.
struct ColdEntry {
    /// Distinguishes the starts of endpoints with the same id.
    std::int64_t incarnation = 0;
    /// Number of the registration's last renewal.
    std::int64_t sequence = 0;
    /// Time for which the endpoint stays cold after that renewal; zero if it is warm.
    Duration coldRemaining = Duration::zero();

    auto operator<=>(const ColdEntry &) const = default;
};

enum class ColdPhase {
    Warm,
    /// The endpoint is cold according to its registration.
    Cold,
    /// The endpoint was lost and may have restarted cold since.
    Suspect,
    /// The endpoint was cold until a moment ago.
    SlowStart,
};

const char *coldPhaseName(ColdPhase phase);

/// What an instance knows of the start of one endpoint, and the requests that it sent there.
struct ColdState {
    ColdEntry entry;
    /// End of the cold time; empty if the endpoint has not been cold.
    std::optional<MonotonicTime> coldUntil;
    /// Time of the newest sign that the endpoint is down, and of the first output since; empty if there is none.
    std::optional<MonotonicTime> failedAt;
    std::optional<MonotonicTime> answeredAt;
    /// Earliest time of this instance's next request while the endpoint is cold.
    MonotonicTime openAt;
    /// Times of the requests that this instance sent within the last window.
    std::deque<MonotonicTime> sent;
    /// Decayed failures at the endpoint that other instances last reported, when that was, when they last rose, and by how much lately.
    double reportedFailures = 0;
    MonotonicTime reportedAt;
    std::optional<MonotonicTime> failuresRoseAt;
    double newFailures = 0;
    /// Position of this instance among those that share the allowance, and their number; empty if it is not known.
    std::optional<int> rank;
    int instances = 1;
    std::uint64_t rankVersion = 0;
    ColdPhase phase = ColdPhase::Warm;
};

/// Bounds the requests to cold endpoints over all instances without a message for each request: the instances with the lowest ranks for an endpoint
/// share a fixed allowance, the others send it nothing. After the cold time the allowance rises, and further instances follow in the order of
/// their ranks. Only the endpoints of services with a bounded rule are to be asked for.
class ColdStarts
{
public:
    /// Records a registration that the store has, new or not. One that is older than the known registration is ignored.
    void recordEntry(const std::string &endpoint, const ColdEntry &entry, MonotonicTime now);
    void forget(const std::string &endpoint);
    /// Records that this instance could not connect to an endpoint or lost its connection.
    void recordFailure(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now);
    /// Records the failures that other instances have reported, decayed. New ones are a sign that the endpoint is down if most of its requests are
    /// gone with them, or if none is left and nobody has had output for a second. `running` is the number of requests of all instances there.
    void recordReportedFailures(const std::string &endpoint, double failures, int running, Duration sinceOutput, MonotonicTime now);
    /// Records the time of the newest output to a request of any instance, for an endpoint that was lost before.
    void recordOutput(const std::string &endpoint, MonotonicTime time);
    /// Records a request that this instance sends.
    void recordRequest(const std::string &endpoint, MonotonicTime now);
    /// Whether the fleet was last updated so long ago that it is due again.
    bool isFleetUpdateDue(MonotonicTime now) const;
    void updateFleet(const FleetContacts &contacts, MonotonicTime now);

    /// Time until this instance may send the endpoint a request; zero if it may now.
    Duration timeToRequest(const std::string &endpoint, const ColdRule &rule, MonotonicTime now) const;
    ColdPhase phase(const std::string &endpoint, const ColdRule &rule, MonotonicTime now) const;
    /// Returns the phase of an endpoint if it has changed since the last call.
    std::optional<ColdPhase> updatePhase(const std::string &endpoint, const ColdRule &rule, MonotonicTime now);
    /// Returns what is known of an endpoint; null if it is unknown.
    const ColdState *find(const std::string &endpoint) const;

private:
    void updateRank(const std::string &endpoint, ColdState &state) const;

    std::map<std::string, ColdState> states;
    FleetMemory fleet;
    MonotonicTime nextFleetUpdate;
};

} // namespace Godwitfork
