#pragma once

#include "LibEntry/EntryState.h"
#include "LibGateway/FleetView.h"
#include "LibGateway/PeerReportAggregator.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Exchanges state with the other entry instances. Every instance reports to two hubs, chosen by the same rule everywhere, and
/// receives a summary of all reports. The exchange carries data for which the store is too slow or too expensive, and updates
/// that an instance misses while the store rejects its calls.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &context, HttpClient &client, EntryState &state);

    void start();
    /// Sends a report when one is due, and expires old peer data. Call on each timer tick.
    void tick(MonotonicTime now);
    /// Rank of this instance among the live ones for a task, starting at 0.
    int rankFor(const std::string &task) const;
    /// Number of requests, over all instances, that run on the service's endpoints of any version other than `version`.
    int runningOnOtherVersions(const std::string &service, const std::string &version) const;
    /// Hub through which this instance follows the store. Empty if this instance is a hub, the fleet is too small, the last
    /// summary is too old, or no hub is usable.
    std::optional<HttpAddress> relayHub() const;
    /// Hub that serves this instance, chosen from `hubs` by a hash of the instance name that spreads the load.
    HttpAddress assignedHub(const std::vector<HttpAddress> &hubs) const;
    /// Excludes an unresponsive hub for a fixed time.
    void excludeHub(const HttpAddress &hub);
    /// Sets the handler for relay requests to the peer listener.
    void setRelayHandler(HttpHandler handler);
    /// Whether any other instance is a known member of the fleet.
    bool hasOtherMembers() const;
    /// Whether a summary with the peers' configuration version and leaving endpoints arrived within its age limit.
    bool hasFreshSummary() const;
    /// Number of instances within the membership timeout, this one included; at least 1.
    int liveInstanceCount() const;

private:
    struct PeerLink {
        bool busy = false;
        MonotonicTime excludedUntil;
        /// Last report sent, subtracted from the summary to get the totals of the other instances.
        PeerReport sent;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> sendReport(HttpAddress address, std::string body);
    boost::asio::awaitable<void> fetchConfiguration(HttpAddress address, ConfigurationVersion version);
    PeerReport makeReport(MonotonicTime now) const;
    /// Returns the addresses that get the next report: the hubs and, at intervals, a seed.
    std::vector<HttpAddress> reportTargets(MonotonicTime now);
    void applySummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now);
    void applyPlacements(const CachePlacements &placements);
    void fetchNewerConfiguration(const std::string &holder, ConfigurationVersion version);
    /// Returns the encoded summary; omits the members if the sender has the same list.
    const std::string &encodedSummary(const PeerReport &report, MonotonicTime now);
    bool hasUrgentChanges() const;
    std::string ownAddress() const;

    boost::asio::io_context &context;
    HttpClient &client;
    EntryState &state;
    HttpServer server;
    PeerReportAggregator board;
    HttpHandler relayHandler;
    std::map<HttpAddress, PeerLink> links;
    FleetView fleet;
    /// Number of instances in the summary in use, and the time of its arrival.
    std::size_t summaryMemberCount = 0;
    MonotonicTime summaryReceivedAt;
    MonotonicTime nextSeedReport;
    EndpointUsageMap peerUses;
    std::string summaryBytes;
    std::string summaryBytesWithMembers;
    std::uint64_t summaryMembersHash = 0;
    MonotonicTime summaryEncodedAt;
    MonotonicTime nextReport;
    ConfigurationVersion reportedConfiguration = 0;
    std::set<std::string> reportedBadServices;
    ConfigurationVersion fetchingVersion = 0;
};

} // namespace Godwitfork
