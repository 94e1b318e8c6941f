#pragma once

#include "ChildProcess.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "Promises.h"
#include "StoreStandIn.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Real entry processes behind a real fault proxy, with stand-ins for the store and the endpoints in this process. All faults
/// are drawn from the seed.
class SoakRun
{
public:
    explicit SoakRun(std::uint64_t seed);
    ~SoakRun();

    /// Traffic with faults, then without.
    void run(Duration faulty, Duration calm);
    const Promises &promises() const;
    /// Share of the requests that were served in the last seconds of the calm part.
    double servedAfterRecovery() const;
    /// Writes what each process logged to a folder that is kept, and returns its name.
    std::string keepLogs() const;

private:
    struct Entry {
        std::string settingsFile;
        HttpAddress callers;
        std::unique_ptr<ChildProcess> process;
        bool isDown = false;
    };
    struct Endpoint {
        std::string id;
        std::unique_ptr<HttpServer> server;
        std::string route;
        bool isDraining = false;
    };

    void startProxy();
    void startEntries();
    void registerEndpoint(const Endpoint &endpoint, const std::string &state);
    boost::asio::awaitable<void> serveEndpoint(HttpExchange &exchange);
    boost::asio::awaitable<void> callerLoop(int number);
    boost::asio::awaitable<void> callOnce(std::string id, bool isStream);
    boost::asio::awaitable<void> faultLoop();
    boost::asio::awaitable<void> injectFault();
    boost::asio::awaitable<void> signalEntry(std::size_t index, int signal, Duration downTime);
    boost::asio::awaitable<void> proxyFault(std::string route, nlohmann::json faults, Duration duration);
    boost::asio::awaitable<void> control(std::string method, std::string target, std::string body);
    boost::asio::awaitable<void> pause(Duration duration);
    Duration draw(int minMilliseconds, int maxMilliseconds);

    boost::asio::io_context context;
    RandomSource random;
    HttpClient client;
    StoreStandIn store;
    std::vector<Endpoint> endpoints;
    std::unique_ptr<ChildProcess> proxy;
    HttpAddress proxyControl;
    std::map<std::string, HttpAddress> proxied;
    std::vector<Entry> entries;
    Promises seen;
    std::string folder;
    MonotonicTime faultsEnd;
    MonotonicTime end;
    int running = 0;
    int lateTotal = 0;
    int lateServed = 0;
};

} // namespace Godwitfork
