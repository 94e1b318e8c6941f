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

/// Tells the other entry instances what this one has seen, and takes over what they tell. Every instance reports to two hubs,
/// which all choose alike, and gets the sum of all reports back. It carries what the store is too slow or too dear for, and
/// what an instance misses that the store turns away.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &context, HttpClient &client, EntryState &state);

    void start();
    /// Sends reports now and then; to be called on each tick.
    void tick(MonotonicTime now);
    /// Place of this instance among the live ones for a task, 0 for the first.
    int rankFor(const std::string &task) const;
    /// Requests of all instances that run on endpoints of a service with another version.
    int runningOutside(const std::string &service, const std::string &version) const;
    /// Hub through which this instance follows the store; empty if it is a hub itself, or if the fleet is too small.
    std::optional<HttpAddress> relayHub() const;
    /// Of several hubs the one that answers this instance; the instances spread over them.
    HttpAddress ownHub(const std::vector<HttpAddress> &hubs) const;
    /// A hub that did not answer is passed over for a while.
    void avoidHub(const HttpAddress &hub);
    /// Serves requests for a path of the peer listener.
    void setRelayHandler(HttpHandler handler);
    /// Whether the number of instances is known.
    bool knowsFleet() const;
    /// Whether a hub told lately which configuration and which leaving endpoints the other instances know.
    bool hasFreshSummary() const;
    /// Instances heard of lately, this one included.
    int liveInstances() const;

private:
    struct Link {
        bool busy = false;
        MonotonicTime avoidedUntil;
        /// What the report in progress held, to take it off the sum.
        PeerReport sent;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> send(HttpAddress address, std::string body);
    boost::asio::awaitable<void> fetchConfiguration(HttpAddress address, ConfigurationVersion version);
    PeerReport makeReport(MonotonicTime now) const;
    /// Where the next report goes.
    std::vector<HttpAddress> receivers(MonotonicTime now);
    void takeSummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now);
    void applyPlacements(const CachePlacements &placements);
    void noticeConfiguration(const std::string &holder, ConfigurationVersion version);
    /// The encoded summary, with or without the members.
    const std::string &encodedSummary(const PeerReport &report, MonotonicTime now);
    bool isUrgent() const;
    std::string ownAddress() const;

    boost::asio::io_context &context;
    HttpClient &client;
    EntryState &state;
    HttpServer server;
    PeerReportAggregator board;
    HttpHandler relayHandler;
    std::map<HttpAddress, Link> links;
    FleetView fleet;
    /// Instances in the summary whose sums are used, and its time.
    std::size_t summaryMembers = 0;
    MonotonicTime summaryAt;
    MonotonicTime nextSeedReport;
    EndpointUsageMap otherUses;
    std::string summaryBytes;
    std::string summaryBytesWithMembers;
    std::uint64_t boardHash = 0;
    MonotonicTime summaryBytesAt;
    MonotonicTime nextReport;
    ConfigurationVersion reportedConfiguration = 0;
    std::set<std::string> reportedBad;
    ConfigurationVersion fetching = 0;
};

} // namespace Godwitfork
