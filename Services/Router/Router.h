#pragma once

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

/// The router process: one control thread, which is the thread that calls `run`, and the traffic threads.
class Router
{
public:
    explicit Router(RouterSettings settings);

    /// Returns after a graceful stop.
    void run();

private:
    boost::asio::awaitable<void> stopGracefully();
    boost::asio::awaitable<void> sleep(Duration duration);

    RouterSettings settings;
    RouterStatus status;
    Metrics metrics;
    boost::asio::io_context context {1};
    ControlPlane control;
    std::vector<std::unique_ptr<TrafficThread>> traffic;
    boost::asio::signal_set signals;
};

} // namespace Godwitfork
