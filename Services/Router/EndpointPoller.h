#pragma once

#include "Worker.h"

namespace Godwitfork
{

/// Asks each endpoint of a traffic thread for its load and status, and the platform for its instance list, as long as the
/// thread's context runs.
class EndpointPoller
{
public:
    explicit EndpointPoller(Worker &worker);

    /// Starts polling endpoints that are new in the pool.
    void pollNewEndpoints();
    void start();

private:
    boost::asio::awaitable<void> pollEndpoint(EndpointIndex endpoint);
    boost::asio::awaitable<void> pollInstanceList();
    boost::asio::awaitable<void> pause();

    Worker &worker;
    EndpointIndex polled = 0;
};

} // namespace Godwitfork
