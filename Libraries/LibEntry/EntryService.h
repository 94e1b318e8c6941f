#pragma once

#include "CatalogClient.h"
#include "LibEntry/CapacityLog.h"
#include "LibEntry/CatalogFollower.h"
#include "LibEntry/CatalogRelay.h"
#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/PeerExchange.h"
#include "LibEntry/RequestRun.h"
#include "LibEntry/RolloutController.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace Godwitfork
{

/// Entry process with its listeners, store followers, startup and shutdown. Everything runs on one thread, since its instances
/// have a fraction of a core.
class EntryService
{
public:
    EntryService(EntrySettings settings, std::string settingsFile);

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully.
    void run();

private:
    boost::asio::awaitable<void> serveCaller(HttpExchange &exchange);
    boost::asio::awaitable<void> serveReadiness(HttpExchange &exchange);
    boost::asio::awaitable<void> serveMetrics(HttpExchange &exchange);
    boost::asio::awaitable<void> runPeriodicTasks();
    boost::asio::awaitable<void> waitForStop();
    /// Waits until the callers' listener has had no connection for a moment, or until the requests in progress are to be ended.
    boost::asio::awaitable<void> waitForQuiet();
    /// Waits until no connection of a caller is open, or until `latest`.
    boost::asio::awaitable<void> waitForEnd(MonotonicTime latest);
    /// Ends the requests in progress whose answer has not begun, or all of them.
    void interruptRequests(bool isWithAnswer);
    boost::asio::awaitable<void> waitForReload();
    /// Logs what is in progress at the start of a phase of the stop; `signal` is 0 if it did not start with one.
    void logStop(const char *phase, int signal = 0) const;
    void applyLimits();
    void applyPeerState(MonotonicTime now);
    void reloadSettings(const char *cause);
    EntryGauges gauges() const;

    boost::asio::io_context context;
    EntryState state;
    std::string settingsFile;
    std::string settingsText;
    HttpClient client;
    Platform::CatalogClient catalog;
    EntryMetrics metrics;
    EntryContext requestContext;
    PeerExchange peers;
    RolloutController rollouts;
    std::vector<std::unique_ptr<CatalogFollower>> followers;
    std::unique_ptr<CatalogRelay> relay;
    HttpServer callers;
    HttpServer readiness;
    HttpServer metricsListener;
    boost::asio::signal_set stopSignals;
    boost::asio::signal_set reloadSignals;
    ConfigurationVersion limitsVersion = -1;
    CapacityLog capacityLog;
    bool wasReady = false;
};

} // namespace Godwitfork
