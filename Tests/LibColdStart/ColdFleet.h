#pragma once

#include "LibColdStart/ColdStarts.h"

#include <cstdint>
#include <vector>

namespace Godwitfork
{

enum class ColdTurn {
    /// The endpoint loses its requests, is down for some time while its registration stays, and returns cold with a new one.
    Crash,
    /// The endpoint turns cold without a restart.
    ColdAgain,
    /// A new endpoint registers.
    Appears,
};

enum class FleetFaultKind { PeersCut, StoreCut, Isolated, Killed, Frozen, DomainCut, ReportsLost };
constexpr int fleetFaultKinds = 7;

struct FleetFault {
    Duration at;
    Duration lasts;
    FleetFaultKind kind;
    /// The instance that it concerns; of `DomainCut`, any of the failure domain.
    int instance;
};

enum class ColdDiscipline {
    /// The shares of `ColdStarts`.
    Shares,
    /// Mutation: every instance has the share of the first rank.
    ShareForEverybody,
    /// Mutation: ranks among the live instances alone, without the memory of those that fell silent.
    LiveRanks,
    /// The code before: a cold endpoint is chosen like a warm one.
    None,
};

struct FleetPlan {
    int instances = 62;
    int domains = 3;
    ColdRule rule {5.2, std::chrono::seconds(3), 1.5, 5};
    /// Requests a second to the service over all instances.
    double demand = 175;
    ColdTurn turn = ColdTurn::Crash;
    Duration turnAt = std::chrono::milliseconds(4700);
    Duration downTime = std::chrono::seconds(1);
    /// Whether the endpoint gets all requests of an instance that knows that it is cold, as if all endpoints of the service were.
    bool getsAllRequests = false;
    std::vector<FleetFault> faults;
    ColdDiscipline discipline = ColdDiscipline::Shares;
    std::uint64_t seed = 1;
};

struct FleetResult {
    /// Most requests that arrived in a sliding second while the endpoint was cold.
    int mostInSecond = 0;
    /// Requests that arrived while it was cold.
    int arrivedCold = 0;
    /// Most requests that arrived in a sliding 250 ms within the slow start, and in the second after it.
    int mostInSlowStart = 0;
    int mostAfter = 0;
};

/// Plays instances in front of the endpoints of one service, of which one turns cold. Messages between instances are summaries as old as on the
/// platform, and registrations arrive up to 1.2 s after they were written.
FleetResult playColdFleet(const FleetPlan &plan);

} // namespace Godwitfork
