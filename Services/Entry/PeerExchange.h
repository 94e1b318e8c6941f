#pragma once

#include "EntryState.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Godwitfork
{

/// Tells the other entry instances what this one has seen, and takes over what they tell. It carries what the store is too
/// slow or too dear for, and what an instance misses that the store turns away.
class PeerExchange
{
public:
    PeerExchange(boost::asio::io_context &context, HttpClient &client, EntryState &state);

    void start();
    /// Sends reports now and then; to be called on each tick.
    void tick(MonotonicTime now);
    /// Place of this instance among the live ones for a task, 0 for the first.
    int rankFor(const std::string &task, MonotonicTime now) const;
    /// Requests of all instances that run on endpoints of a service with another version.
    int runningOutside(const std::string &service, const std::string &version, MonotonicTime now) const;
    /// Instances heard of lately, this one included.
    int liveInstances(MonotonicTime now) const;
    void stop();

private:
    struct Peer {
        bool isSeed = false;
        bool busy = false;
        MonotonicTime lastHeard;
        MonotonicTime lastTried;
        std::string instance;
        std::map<std::string, EndpointUse> endpoints;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> send(HttpAddress address, std::string body);
    boost::asio::awaitable<void> fetchConfiguration(HttpAddress address, ConfigurationVersion version);
    PeerReport makeReport(MonotonicTime now) const;
    void takeReport(const PeerReport &report, MonotonicTime now);
    void learn(const std::string &address);
    void noticeConfiguration(const HttpAddress &address, ConfigurationVersion version);
    void shareLoads(MonotonicTime now);
    bool isUrgent() const;

    boost::asio::io_context &context;
    HttpClient &client;
    EntryState &state;
    HttpServer server;
    std::map<HttpAddress, Peer> peers;
    MonotonicTime nextReport;
    ConfigurationVersion reportedConfiguration = 0;
    std::set<std::string> reportedBad;
    std::string lastReport;
    MonotonicTime lastReportAt;
    ConfigurationVersion fetching = 0;
};

} // namespace Godwitfork
