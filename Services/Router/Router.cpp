#include "Router.h"

#include "LibCore/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration stopPollInterval = std::chrono::milliseconds(20);
/// Time limit for writing the last billing records during a stop; the journal keepers hold replicas of them as well.
constexpr Duration flushTimeout = std::chrono::seconds(30);
} // namespace

Router::Router(RouterSettings givenSettings)
    : settings(std::move(givenSettings)), control(this->context, this->settings, this->status), signals(this->context, SIGTERM, SIGINT)
{
    HttpAddress listen = this->settings.listen;
    for (int i = 0; i < this->settings.trafficThreads; ++i) {
        this->trafficThreads.push_back(std::make_unique<TrafficThread>(this->settings, listen, this->control, this->status, this->metrics));
        // If the configured port is 0, the kernel assigns one to the first thread, and the other threads share it.
        listen = this->trafficThreads.front()->address();
    }
    if (!this->settings.administrationListen.host.empty()) {
        this->administration = std::make_unique<AdministrationListener>(this->settings, this->control, this->status);
    }
}

void Router::run()
{
    this->control.setSnapshotListener([this](const SnapshotPointer &snapshot) {
        this->metrics.setRevision(static_cast<double>(snapshot->revision()));
        for (auto &thread : this->trafficThreads) {
            thread->postSnapshot(snapshot);
        }
        if (this->administration) {
            this->administration->setSnapshot(snapshot);
        }
    });
    for (auto &thread : this->trafficThreads) {
        thread->start();
    }
    this->control.start();
    if (this->administration) {
        this->administration->start();
    }
    logEvent(LogLevel::Info,
             "listening",
             {{"address", toText(this->trafficThreads.front()->address())},
              {"administration_address", this->administrationAddress()},
              {"incarnation", this->control.incarnation()},
              {"failure_domain", this->settings.failureDomain}});
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            Asio::co_spawn(this->context, this->stopGracefully(), Asio::detached);
        }
    });
    this->context.run();
    for (auto &thread : this->trafficThreads) {
        thread->join();
    }
}

std::string Router::administrationAddress() const
{
    return this->administration ? toText(this->administration->address()) : std::string();
}

Asio::awaitable<void> Router::sleep(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

int Router::openConnections()
{
    int connections = 0;
    for (auto &thread : this->trafficThreads) {
        connections += thread->openConnections();
    }
    return connections;
}

Asio::awaitable<void> Router::stopGracefully()
{
    logEvent(LogLevel::Info, "stop.started", {{"active_requests", this->status.activeRequests()}});
    this->status.beginStop();
    // The load balancer sends requests until it detects that this instance is not ready. They are refused with `not_ready`,
    // after which a retry is safe.
    co_await this->sleep(this->settings.balancerDelay);
    for (auto &thread : this->trafficThreads) {
        thread->postStopListening();
    }
    const MonotonicTime deadline = monotonicNow() + this->settings.stopLimit;
    // A connection is open until its request has arrived and its answer has left.
    while ((this->status.activeRequests() > 0 || this->openConnections() > 0) && monotonicNow() < deadline) {
        co_await this->sleep(stopPollInterval);
    }
    if (this->administration) {
        this->administration->stop();
    }
    const bool flushed = co_await this->control.ledger().flush(flushTimeout);
    if (this->control.peers() != nullptr) {
        co_await this->control.peers()->leave();
    }
    logEvent(LogLevel::Info, "stop.finished", {{"active_requests", this->status.activeRequests()}, {"ledger_flushed", flushed}});
    this->context.stop();
}

} // namespace Godwitfork
