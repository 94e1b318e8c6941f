#pragma once

#include "LibEntry/ConfigurationFetcher.h"
#include "LibEntry/DomainExchange.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/ListenerLimits.h"
#include "LibGateway/HubDirectory.h"
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

/// Exchanges state with the other entry instances. Every instance reports to the two hubs of its failure domain and receives a summary of
/// all reports from the primary one; the primaries exchange the sums of their failure domains. The exchange carries data for which the
/// store is too slow or too expensive, and updates that an instance misses while the store rejects its calls.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &context, HttpClient &client, EntryState &state);

    void start()
    {
        this->server.setMemory(this->state.memory);
        this->server.start();
    }
    /// Sends a report when one is due, and expires old peer data. Call on each timer tick.
    void tick(MonotonicTime now);
    /// Rank of this instance among the live ones for a task, starting at 0.
    int rankFor(const std::string &task) const;
    /// Number of requests, over all instances, that run on the service's endpoints of any version other than `version`.
    int runningOnOtherVersions(const std::string &service, const std::string &version) const;
    /// Hub through which this instance follows the store. Empty if this instance reads the store itself, the fleet is too small, the
    /// last summary is too old, or no hub is usable.
    std::optional<HttpAddress> relayHub() const;
    /// Excludes an unresponsive hub for a fixed time.
    void excludeHub(const HttpAddress &hub);
    /// Sets the handler for relay requests to the peer listener.
    void setRelayHandler(HttpHandler handler);
    /// Whether any other instance is a known member of the fleet.
    bool hasOtherMembers() const;
    /// Instances within the membership timeout, this one included unless it has just started.
    const std::vector<FleetMember> &members() const
    {
        return this->directory.fleet().members();
    }
    HttpServerCounters listenerCounters() const
    {
        return this->server.counters();
    }
    /// Number of instances within the membership timeout, this one included; at least 1.
    int liveInstanceCount() const;

private:
    struct PeerLink {
        bool busy = false;
        /// Last report sent, subtracted from the summary to get the totals of the other instances.
        PeerReport sent;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    HttpResponse answerReport(const std::string &body);
    HttpResponse recordDomainSummary(const std::string &body);
    boost::asio::awaitable<void> sendReport(HttpAddress address, std::string body);
    /// Logs when this instance becomes the primary hub of its failure domain or ceases to be it.
    void logHubRole(MonotonicTime now);
    PeerReport makeReport(MonotonicTime now) const;
    /// Returns the seeds that get the next report besides the hubs.
    std::vector<HttpAddress> seedTargets(MonotonicTime now);
    Duration reportDelay() const;
    /// Counts the items of a peer's message that were not understood.
    void recordFaults(const std::string &peer, const ItemFaults &faults, MonotonicTime now);
    void applySummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now);
    void applyPlacements(const CachePlacements &placements);
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
    HubDirectory directory;
    DomainExchange domains;
    ConfigurationFetcher configurationFetcher;
    MonotonicTime startedAt;
    /// Number of instances in the summary in use, and the time of its arrival.
    std::size_t summaryMemberCount = 0;
    MonotonicTime summaryReceivedAt;
    MonotonicTime nextSeedReport;
    /// Size of the last summary received, in bytes.
    std::size_t summarySize = 0;
    std::string summaryBytes;
    std::string summaryBytesWithMembers;
    std::uint64_t summaryMembersHash = 0;
    MonotonicTime summaryEncodedAt;
    MonotonicTime nextReport;
    bool wasPrimary = false;
    ConfigurationVersion reportedConfiguration = 0;
    std::uint64_t reportedCrashes = 0;
    std::set<std::string> reportedBadServices;
};

} // namespace Godwitfork
