#pragma once

#include "CallerApi.h"
#include "EndpointPoller.h"
#include "LibHttp/HttpServer.h"
#include "Worker.h"

#include <memory>
#include <thread>

namespace Godwitfork
{

/// Thread that serves caller requests, with its own listener on the shared port.
class TrafficThread
{
public:
    TrafficThread(const RouterSettings &settings, const HttpAddress &listen, ControlPlane &control, RouterStatus &status, Metrics &metrics);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    HttpAddress address() const;
    void start();
    /// Passes a new snapshot to the thread. Thread-safe.
    void postSnapshot(SnapshotPointer snapshot);
    /// Makes the thread close its listener and idle connections. Thread-safe.
    void postStopListening();
    /// Open connections of the thread's server. Thread-safe; waits until the thread has answered.
    int openConnections();
    /// Stops the event loop and waits for the thread to end.
    void join();

private:
    void adopt(SnapshotPointer snapshot);

    /// Account of the bytes that this thread's connections hold.
    MemoryBudget memory;
    Worker worker;
    EndpointPoller poller;
    CallerApi api;
    HttpServer server;
    std::thread thread;
};

} // namespace Godwitfork
