#pragma once

#include "LibCore/DecayingSum.h"
#include "LibCore/Error.h"
#include "LibGateway/Catalog.h"
#include "LibGateway/EndpointAnnouncements.h"
#include "LibGateway/PromptQuarantine.h"
#include "LibRollout/VersionTrial.h"
#include "LibRouting/RetryBudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Requests in progress at an endpoint and its decayed failure share, from one or several instances.
struct EndpointUsage {
    /// Number of requests in progress.
    int running = 0;
    /// Expected time to read the prompts of the requests that have no output yet.
    Duration pendingPromptTime = Duration::zero();
    ObservationSum failures;
    /// Time since the endpoint last sent output to any request; empty if it sent none recently.
    std::optional<Duration> sinceOutput;
    /// Evidence of the endpoint's relative speed, see CapacityEstimate; empty unless capacity is learned.
    ObservationSum relativeTimes {};

    EndpointUsage &operator+=(const EndpointUsage &other);
    auto operator<=>(const EndpointUsage &) const = default;
};

using EndpointUsageMap = std::map<EndpointKey, EndpointUsage>;

/// Decayed statistics of the answers of a service's endpoints.
struct ServiceStatistics {
    /// Slowdown: the seconds observed until first outputs (sum) over those expected at endpoints of nominal speed (weight).
    ObservationSum slowdown;
    /// Mean wait: the seconds by which first outputs were later than on an idle endpoint (sum) over the number of first outputs (weight).
    ObservationSum promptWaits;
    /// Requests and retries within the window of the retry budget.
    RetryUse retries;

    ServiceStatistics &operator+=(const ServiceStatistics &other);
    ServiceStatistics &operator-=(const ServiceStatistics &other);
    auto operator<=>(const ServiceStatistics &) const = default;
};

/// Statistics by service.
using ServiceStatisticsMap = std::map<std::string, ServiceStatistics>;

/// Prefix of a prompt that an engine has read, ending with one prompt part.
struct CachedPart {
    /// Key of the prefix for one model; see `promptPrefixKeys`.
    std::uint64_t key = 0;
    /// Number of tokens of the last part of the prefix.
    std::int64_t tokens = 0;

    auto operator<=>(const CachedPart &) const = default;
};

/// Shared prompt parts that engines have read since the last report, by endpoint, from the start of each prompt on.
using CachePlacements = std::map<EndpointKey, std::vector<CachedPart>>;

/// Incarnation of an endpoint that is draining.
struct LeavingEndpoint {
    std::string id;
    std::int64_t incarnation = 0;

    auto operator<=>(const LeavingEndpoint &) const = default;
};

/// Version on which an open session runs.
struct SessionPin {
    /// Hash of the session's name; see `sessionHash`.
    std::uint64_t session = 0;
    std::string version;
    /// Time since the session's last request.
    Duration idle = Duration::zero();

    auto operator<=>(const SessionPin &) const = default;
};

/// State and observations of one roll-out.
struct TrialReport {
    std::string service;
    std::string target;
    RolloutState state = RolloutState::Ordered;
    /// Time since the order.
    Duration age = Duration::zero();
    /// Whether the target version was found bad.
    bool isBad = false;
    /// Whether the last step was taken.
    bool isAccepted = false;
    TrialObservations observations;
    /// Open sessions that a draw would assign to the target version in the first half of the roll-out.
    std::vector<SessionPin> sessions;

    auto operator<=>(const TrialReport &) const = default;
};

/// Number of items that were not understood, by cause.
using ItemFaults = std::map<ItemFault, std::uint64_t>;

struct FleetMember {
    std::string instance;
    /// Address of the instance's peer listener.
    std::string address;
    /// CPU quota of the instance in thousandths of a core; the instances with the highest quota are chosen as hubs.
    int capacity = 0;
    std::string failureDomain;

    auto operator<=>(const FleetMember &) const = default;
};

/// Member of the fleet and the time since some instance last received a report from it.
struct MemberSighting {
    FleetMember member;
    Duration age = Duration::zero();

    auto operator<=>(const MemberSighting &) const = default;
};

/// Report that an entry instance sends to a hub periodically. A lost report is superseded by the next one.
struct PeerReport {
    /// Its address is empty after decoding if it was not an IP address and a port.
    FleetMember sender;
    /// Whether the hub answers with its summary; an instance requests it from one hub only.
    bool wantsSummary = true;
    /// Hash of the members in the sender's view; see `fleetHash`.
    std::uint64_t fleetHash = 0;
    /// Version of the sender's configuration.
    ConfigurationVersion configuration = 0;
    EndpointUsageMap endpoints;
    ServiceStatisticsMap statistics;
    CachePlacements placements;
    std::vector<LeavingEndpoint> leaving;
    std::vector<TrialReport> trials;
    std::vector<PromptPartEvidence> promptEvidence;
    /// What the sender has heard endpoints say of their limits.
    std::vector<EndpointLimitReport> limits;
    /// Items of a received message that were not understood and are left out; not sent.
    ItemFaults faults;

    auto operator<=>(const PeerReport &) const = default;
};

/// Sum of the newest reports of the instances of one failure domain, or of all instances. A hub sends the first to the hubs of other failure
/// domains, and the second to the instances of its own one; both include the sender, the second also the receiver.
struct PeerSummary {
    /// Failure domain whose reports are included; empty for all.
    std::string failureDomain;
    /// Number of instances whose reports are included.
    std::int64_t memberCount = 0;
    /// Members in the sender's view. If the receiver has the same members, only those that have not been heard lately.
    std::vector<MemberSighting> members;
    bool listsAllMembers = true;
    /// Largest time since a member that is not listed was heard.
    Duration oldestUnlisted = Duration::zero();
    /// Newest configuration version of any instance.
    ConfigurationVersion configuration = 0;
    /// Address of the peer listener of an instance with that version.
    std::string configurationHolder;
    EndpointUsageMap endpoints;
    ServiceStatisticsMap statistics;
    CachePlacements placements;
    std::vector<LeavingEndpoint> leaving;
    std::vector<TrialReport> trials;
    std::vector<PromptPartEvidence> promptEvidence;
    std::vector<EndpointLimitReport> limits;
    /// Items of a received message that were not understood and are left out; not sent.
    ItemFaults faults;

    auto operator<=>(const PeerSummary &) const = default;
};

/// Hash of the members' addresses, independent of their order.
std::uint64_t fleetHash(const std::vector<FleetMember> &members);

/// Encode a message as a CBOR array of its fields in the order of their declaration.
std::string encodePeerReport(const PeerReport &report);
std::string encodePeerSummary(const PeerSummary &summary);
/// Decode a message, each item of its lists by itself; fail with `malformed_report` if it is no CBOR or its own fields are not valid.
ErrorOr<PeerReport> decodePeerReport(std::string_view bytes);
ErrorOr<PeerSummary> decodePeerSummary(std::string_view bytes);

} // namespace Godwitfork
