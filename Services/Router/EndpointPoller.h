#pragma once

#include "Worker.h"

namespace Godwitfork
{

/// Polls the load and drain status of each endpoint of a traffic thread and the instance list of the platform, as long as the
/// thread's context runs.
class EndpointPoller
{
public:
    explicit EndpointPoller(Worker &worker);

    /// Starts polling the endpoints that were added to the pool since the last call.
    void pollNewEndpoints();
    /// Starts polling the instance list, if the settings contain its address.
    void start();

private:
    boost::asio::awaitable<void> pollEndpoint(EndpointIndex endpoint);
    boost::asio::awaitable<void> pollInstanceList();
    /// Sleeps for the poll interval with jitter.
    boost::asio::awaitable<void> waitForNextPoll();

    Worker &worker;
    EndpointIndex polledCount = 0;
};

} // namespace Godwitfork
