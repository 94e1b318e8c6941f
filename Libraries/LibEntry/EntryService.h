#pragma once

#include "CatalogClient.h"
#include "LibEntry/CatalogFollower.h"
#include "LibEntry/CatalogRelay.h"
#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/PeerExchange.h"
#include "LibEntry/RequestRun.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace Godwitfork
{

/// The entry process: listeners, followers of the store, and its start and stop. One thread runs everything, since the
/// instances it is made for have a fraction of a core.
class EntryService
{
public:
    EntryService(EntrySettings settings, std::string settingsFile);

    /// Runs until a signal ends the process gracefully.
    void run();

private:
    boost::asio::awaitable<void> serveCaller(HttpExchange &exchange);
    boost::asio::awaitable<void> serveReadiness(HttpExchange &exchange);
    boost::asio::awaitable<void> serveMetrics(HttpExchange &exchange);
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> writeRollout(RolloutOrder order, RolloutState target);
    void driveRollouts(MonotonicTime now);
    boost::asio::awaitable<void> waitForStop();
    boost::asio::awaitable<void> waitForReload();
    void applyLimits();
    void applyFleetSize();
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
    std::vector<std::unique_ptr<CatalogFollower>> followers;
    std::unique_ptr<CatalogRelay> relay;
    HttpServer callers;
    HttpServer readiness;
    HttpServer metricsListener;
    boost::asio::signal_set stopSignals;
    boost::asio::signal_set reloadSignals;
    ConfigurationVersion limitsVersion = -1;
    /// A write of a roll-out's state is on its way.
    bool isWritingRollout = false;
    bool wasReady = false;
};

} // namespace Godwitfork
