#pragma once

#include "EndpointStandIn.h"
#include "EntryFleet.h"
#include "KeptConnection.h"
#include "RequestBook.h"
#include "StoreStandIn.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Godwitfork
{

struct PlannedWorkSettings {
    int instances = 9;
    int failureDomains = 3;
    int engines = 9;
    int plainEndpoints = 3;
    int clients = 60;
    /// Cores that the instances share, 0 for all, and the busy threads on each of these.
    int cores = 0;
    int busyThreads = 0;
    /// 0 if the instances follow no evacuations.
    Duration evacuationLimit {};
    EndpointManners manners;
    /// Shares of requests whose header arrives in two halves and of slow readers.
    double slowSenders = 0.1;
    Duration longestSendPause = std::chrono::milliseconds(2500);
    double slowReaders = 0.05;
};

/// Clients, entry processes, and stand-ins for the store and the endpoints, with planned work that a test schedules. All choices come from the seed; what the
/// processes make of them depends on the machine.
class PlannedWorkRun
{
public:
    PlannedWorkRun(std::uint64_t seed, PlannedWorkSettings settings);
    ~PlannedWorkRun();

    EntryFleet &fleet();
    RandomSource &randomSource();
    std::vector<EndpointStandIn> &endpoints();
    boost::asio::awaitable<void> pause(Duration duration);
    /// Stops and replaces the instance; see EntryFleet::replace.
    void replace(int instance, Freeze freeze = Freeze());
    /// Opens `count` connections to the instance at once, each with a request within `spread`.
    void burst(int instance, int count, Duration spread = Duration::zero());
    /// Puts a new configuration, with one more route and other limits, into the store.
    void changeConfiguration();
    /// Writes or removes the evacuation of a failure domain, `d0` and so on.
    void evacuate(const std::string &failureDomain);
    void endEvacuation(const std::string &failureDomain);
    StoreStandIn &platformStore();
    /// Puts a new configuration with these keys into the store.
    void setKeys(std::vector<std::string> keys);
    /// Writes the registrations of all endpoints.
    void registerEndpoints();
    /// Sends a short request with a key to an instance and returns the status of its answer; 0 if there is none.
    boost::asio::awaitable<int> sendWith(std::string key, int instance);
    /// Plays the work beside the clients, and waits until all requests have ended.
    void play(std::function<boost::asio::awaitable<void>()> work);

    const RequestBook &requests() const;
    /// Losses of the run, each with its time line on standard output.
    std::vector<Loss> losses(const std::vector<Disruption> &disruptions) const;
    /// Requests that endpoints have read.
    std::vector<Arrival> arrivals() const;
    /// Arrivals at evacuated failure domains after the limit.
    std::vector<Arrival> lateArrivals(const std::vector<Disruption> &disruptions) const;
    void keepLogs(const std::string &target) const;

private:
    struct Call {
        std::string text;
        std::string id;
        std::string route;
        Duration limit {};
    };

    void putConfiguration();
    std::string domainOfEndpoint(std::size_t index) const;
    Call makeCall(const std::string &client);
    boost::asio::awaitable<void> clientLoop(int number);
    boost::asio::awaitable<void> useConnection(std::string client, int instance, int requests, Duration before);
    Duration draw(Duration min, Duration max);
    /// Time between an answer and the next request; some connections are idle for long.
    Duration drawThought();

    boost::asio::io_context context;
    RandomSource random;
    PlannedWorkSettings settings;
    RequestBook book;
    StoreStandIn store;
    std::vector<EndpointStandIn> servers;
    std::string folder;
    std::unique_ptr<EntryFleet> entries;
    std::vector<std::thread> busy;
    std::atomic<bool> isBusy = true;
    std::vector<EvacuationTimes> evacuations;
    int configurationVersion = 1;
    std::vector<std::string> keys {"key"};
    int calls = 0;
    int running = 0;
    bool isOver = false;
};

} // namespace Godwitfork
