#pragma once

#include "AdministrationListener.h"
#include "ControlPlane.h"
#include "Metrics.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "TrafficThread.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace Godwitfork
{

/// Router process with one control thread, which is the thread that calls `run`, and several traffic threads.
class Router
{
public:
    explicit Router(RouterSettings settings);

    /// Serves requests until SIGTERM or SIGINT, then returns after a graceful stop.
    void run();

private:
    std::string administrationAddress() const;
    int openConnections();
    boost::asio::awaitable<void> stopGracefully();
    boost::asio::awaitable<void> sleep(Duration duration);

    RouterSettings settings;
    RouterStatus status;
    Metrics metrics;
    boost::asio::io_context context {1};
    ControlPlane control;
    std::vector<std::unique_ptr<TrafficThread>> trafficThreads;
    std::unique_ptr<AdministrationListener> administration;
    boost::asio::signal_set signals;
};

} // namespace Godwitfork
