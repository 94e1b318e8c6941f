#pragma once

#include "CallerApi.h"
#include "LibHttp/HttpServer.h"
#include "Worker.h"

#include <memory>
#include <thread>

namespace Godwitfork
{

/// One traffic thread with its listener on the shared port.
class TrafficThread
{
public:
    TrafficThread(const RouterSettings &settings, const HttpAddress &listen, ControlPlane &control, RouterStatus &status, Metrics &metrics);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    HttpAddress address() const;
    void start();
    /// Hands over a snapshot; callable from any thread.
    void postSnapshot(SnapshotPointer snapshot);
    /// Closes the listener and idle connections; callable from any thread.
    void postStopListening();
    /// Ends the thread.
    void join();

private:
    Worker worker;
    CallerApi api;
    HttpServer server;
    std::thread thread;
};

} // namespace Godwitfork
