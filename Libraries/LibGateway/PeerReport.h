#pragma once

#include "LibCore/Error.h"
#include "LibGateway/Catalog.h"
#include "LibGateway/DecayingSum.h"
#include "LibRollout/VersionTrial.h"
#include "LibRouting/RetryBudget.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// What is running at an endpoint, and how many requests failed there of late.
struct EndpointUsage {
    int running = 0;
    Duration pendingPrompts = Duration::zero();
    ObservationSum failures;

    EndpointUsage &operator+=(const EndpointUsage &other);
    auto operator<=>(const EndpointUsage &) const = default;
};

using EndpointUsageMap = std::map<std::string, EndpointUsage>;

/// How a service's endpoints answered of late.
struct ServiceStatistics {
    /// Seconds until first outputs, over the seconds that were expected at endpoints of nominal speed.
    ObservationSum slowness;
    /// Seconds that first outputs came later than on an idle endpoint, over their number.
    ObservationSum waits;
    /// Of the retry budget's window.
    RetryUse retries;

    ServiceStatistics &operator+=(const ServiceStatistics &other);
    ServiceStatistics &operator-=(const ServiceStatistics &other);
    auto operator<=>(const ServiceStatistics &) const = default;
};

using ServiceStatisticsMap = std::map<std::string, ServiceStatistics>;

/// A leading run of prompt parts that an engine read.
struct CachedPart {
    /// Of the run, for one model; see `promptChain`.
    std::uint64_t key = 0;
    /// Of its last part.
    std::int64_t tokens = 0;

    auto operator<=>(const CachedPart &) const = default;
};

/// Shared parts that engines read of late, by endpoint, leading ones first.
using CachePlacements = std::map<std::string, std::vector<CachedPart>>;

struct LeavingEndpoint {
    std::string id;
    std::int64_t incarnation = 0;

    auto operator<=>(const LeavingEndpoint &) const = default;
};

struct TrialReport {
    std::string service;
    std::string target;
    RolloutState state = RolloutState::Ordered;
    Duration age = Duration::zero();
    bool isBad = false;
    TrialObservations observations;

    auto operator<=>(const TrialReport &) const = default;
};

struct FleetMember {
    std::string instance;
    /// Its peer listener.
    std::string address;
    /// Share of a core that it may use, in thousandths; hubs are chosen among the largest.
    int capacity = 0;

    auto operator<=>(const FleetMember &) const = default;
};

/// What an entry instance tells a hub, again and again. A lost report is made good by the next one.
struct PeerReport {
    FleetMember sender;
    /// Whether the hub answers with its summary; an instance needs it from one hub only.
    bool wantsSummary = true;
    /// Hash of the members that the sender knows.
    std::uint64_t fleetHash = 0;
    ConfigurationVersion configuration = 0;
    EndpointUsageMap endpoints;
    ServiceStatisticsMap statistics;
    CachePlacements placements;
    std::vector<LeavingEndpoint> leaving;
    std::vector<TrialReport> trials;

    auto operator<=>(const PeerReport &) const = default;
};

/// What a hub answers: the sum of the newest reports of all instances, its own and the asking one's included.
struct PeerSummary {
    /// Instances whose reports the sums hold.
    std::int64_t memberCount = 0;
    /// Empty if the asking instance knows the same members.
    std::vector<FleetMember> members;
    /// Newest version that an instance has, and that instance's peer listener.
    ConfigurationVersion configuration = 0;
    std::string configurationHolder;
    EndpointUsageMap endpoints;
    ServiceStatisticsMap statistics;
    CachePlacements placements;
    std::vector<LeavingEndpoint> leaving;
    std::vector<TrialReport> trials;

    auto operator<=>(const PeerSummary &) const = default;
};

/// Hash of the members' addresses, in any order.
std::uint64_t fleetHash(const std::vector<FleetMember> &members);

/// CBOR of the fields in their order.
std::string encodePeerReport(const PeerReport &report);
std::string encodePeerSummary(const PeerSummary &summary);
/// Fail with `malformed_report`.
ErrorOr<PeerReport> decodePeerReport(std::string_view bytes);
ErrorOr<PeerSummary> decodePeerSummary(std::string_view bytes);

} // namespace Godwitfork
