#include "TrafficThread.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace Godwitfork
{

namespace
{
HttpServerLimits serverLimits(const RouterSettings &settings)
{
    HttpServerLimits limits = listenerLimits(settings.connections, descriptorShares(descriptorLimit()).callers);
    limits.maxBodyBytes = static_cast<std::uint64_t>(settings.maxBodyBytes);
    limits.maxConnections = limits.maxConnections / settings.trafficThreads + 1;
    return limits;
}
} // namespace

TrafficThread::TrafficThread(const RouterSettings &settings, const HttpAddress &listen, ControlPlane &control, RouterStatus &status, Metrics &metrics)
    : memory(memoryLimits(trafficMemory(settings) / static_cast<std::size_t>(settings.trafficThreads)))
    , worker(settings, control, status, metrics)
    , poller(this->worker)
    , api(this->worker)
    , server(
          this->worker.context,
          listen,
          serverLimits(settings),
          [this](HttpExchange &exchange) { return this->api.handle(exchange); },
          CallerApi::refuse)
{
    this->server.setMemory(this->memory);
}

TrafficThread::~TrafficThread()
{
    this->join();
}

HttpAddress TrafficThread::address() const
{
    return this->server.address();
}

void TrafficThread::start()
{
    this->server.start();
    this->poller.start();
    this->thread = std::thread([this] {
        const auto guard = boost::asio::make_work_guard(this->worker.context);
        this->worker.context.run();
    });
}

void TrafficThread::postSnapshot(SnapshotPointer snapshot)
{
    boost::asio::post(this->worker.context, [this, snapshot = std::move(snapshot)] { this->adopt(snapshot); });
}

void TrafficThread::adopt(SnapshotPointer snapshot)
{
    adoptSnapshot(this->worker.pool, *snapshot);
    this->worker.snapshot = std::move(snapshot);
    this->poller.pollNewEndpoints();
}

void TrafficThread::postStopListening()
{
    boost::asio::post(this->worker.context, [this] { this->server.stop(); });
}

int TrafficThread::openConnections()
{
    return boost::asio::post(this->worker.context, boost::asio::use_future([this] { return this->server.openConnections(); })).get();
}

void TrafficThread::join()
{
    this->worker.context.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

} // namespace Godwitfork
