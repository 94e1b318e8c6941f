#include "LibHttp/HttpServer.h"

#include "LibCore/Log.h"
#include "LibHttp/HttpConnection.h"
#include "LibHttp/HttpServerState.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Godwitfork
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
using ReusePort = Asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Wait before the next accept if the process has no free descriptor or the server no free connection.
constexpr Duration acceptPause = std::chrono::milliseconds(20);
/// Connections beyond the limit that are open at the same time to have a request refused; further ones wait in the listener's queue.
constexpr int maxRefusedConnections = 64;
constexpr int refusedDivisor = 8;
constexpr Duration counterLogInterval = std::chrono::seconds(1);

int refusedConnections(int maxConnections)
{
    return std::clamp(maxConnections / refusedDivisor, 1, maxRefusedConnections);
}

/// Chooses one of the connections for eviction; null if none may be closed.
HttpConnection *chooseConnection(const std::vector<HttpConnection *> &connections)
{
    const MonotonicTime now = monotonicNow();
    std::vector<EvictionCandidate> candidates;
    candidates.reserve(connections.size());
    for (const HttpConnection *connection : connections) {
        candidates.push_back(connection->evictionCandidate(now));
    }
    const auto chosen = chooseEviction(candidates, now);
    return chosen ? connections[*chosen] : nullptr;
}
} // namespace

HttpServer::State::State(Asio::io_context &context, HttpServerLimits limits, HttpHandler handler, HttpErrorFormatter formatError)
    : context(context), acceptor(context), limits(limits), handler(std::move(handler)), formatError(std::move(formatError))
{
}

MemoryReservation HttpServer::State::openMemory(MemoryUse use, const std::string &address) const
{
    return this->memory ? this->memory->open(use, address) : MemoryReservation();
}

bool HttpServer::State::relieve(MemoryShortage shortage, MemoryUse use, const std::string &client)
{
    const bool isOfClient = shortage == MemoryShortage::Client || shortage == MemoryShortage::ClientLarge;
    const bool isOfLarge = shortage == MemoryShortage::ProcessLarge || shortage == MemoryShortage::ClientLarge;
    const std::size_t leastBody = isOfLarge ? this->memory->limits().smallItem : 0;
    std::vector<HttpConnection *> suitable;
    for (HttpConnection *connection : this->connections) {
        const bool isSuitable = !isOfLarge || connection->bodyMemory() > leastBody;
        if (isSuitable && connection->isEvictable() && (!isOfClient || connection->holdsFor(use, client))) {
            suitable.push_back(connection);
        }
    }
    HttpConnection *chosen = chooseConnection(suitable);
    if (chosen == nullptr || chosen == this->demanding) {
        return false;
    }
    chosen->evict();
    return true;
}

bool HttpServer::State::evictForConnection(const std::string &address)
{
    std::vector<HttpConnection *> suitable;
    for (HttpConnection *connection : this->connections) {
        if (connection->isEvictable() && (address.empty() || connection->address() == address)) {
            suitable.push_back(connection);
        }
    }
    HttpConnection *chosen = chooseConnection(suitable);
    if (chosen == nullptr) {
        return false;
    }
    chosen->evict();
    return true;
}

void HttpServer::State::logCounters()
{
    const MonotonicTime now = monotonicNow();
    if (this->countersLoggedAt != MonotonicTime() && now - this->countersLoggedAt < counterLogInterval) {
        return;
    }
    this->countersLoggedAt = now;
    boost::system::error_code ignored;
    logEvent(LogLevel::Warning,
             "callers.limited",
             {{"port", this->acceptor.local_endpoint(ignored).port()},
              {"open_connections", this->connections.size()},
              {"max_connections", this->limits.maxConnections},
              {"evicted", this->counters.evictedConnections},
              {"refused_connections", this->counters.refusedConnections},
              {"refused_requests", this->counters.refusedRequests},
              {"slow", this->counters.slowRequests},
              {"oversized", this->counters.oversizedRequests}});
}

Asio::awaitable<void> HttpServer::State::acceptLoop()
{
    auto self = this->shared_from_this();
    Asio::steady_timer pause(this->context);
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        if (!this->mayAccept()) {
            // Refused clients that stay must not keep others waiting in the listener's queue.
            this->evictForConnection({});
            pause.expires_after(acceptPause);
            co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        Tcp::socket socket = co_await this->acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (error == Asio::error::operation_aborted) {
            break;
        }
        if (error) {
            // Without a free descriptor, accept fails again at once.
            pause.expires_after(acceptPause);
            co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        // The listener may have closed since the connection was accepted; its client has been told that it is open.
        this->open(std::move(socket));
    }
}

bool HttpServer::State::mayAccept() const
{
    return static_cast<int>(this->connections.size()) < this->limits.maxConnections + refusedConnections(this->limits.maxConnections);
}

void HttpServer::State::open(Tcp::socket socket)
{
    ++this->acceptedConnections;
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const std::string address = socket.remote_endpoint(ignored).address().to_string();
    const int most = this->limits.maxConnections;
    const int mostOfAddress = std::max(1, most * this->limits.addressSharePercent / 100);
    const auto ofAddress = this->connectionsByAddress.find(address);
    bool isBeyondLimit = false;
    if (ofAddress != this->connectionsByAddress.end() && ofAddress->second >= mostOfAddress) {
        isBeyondLimit = !this->evictForConnection(address);
    } else if (static_cast<int>(this->connections.size()) - this->evictedOpen >= most) {
        isBeyondLimit = !this->evictForConnection({});
    }
    auto connection = std::make_shared<HttpConnection>(std::move(socket), address, this->shared_from_this(), isBeyondLimit);
    Asio::co_spawn(
        this->context, [connection]() -> Asio::awaitable<void> { co_await connection->run(); }, Asio::detached);
}

// Closing a listener resets the connections in its queue.
void HttpServer::State::closeListener()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (!error) {
            this->open(std::move(socket));
        }
    }
    this->acceptor.close(error);
}

void HttpServer::State::drain()
{
    this->isKeepAliveDisabled = true;
    this->isDraining = true;
    for (HttpConnection *connection : this->connections) {
        connection->checkIdle();
    }
}

HttpServer::HttpServer(Asio::io_context &context, const HttpAddress &address, HttpServerLimits limits, HttpHandler handler, HttpErrorFormatter formatError)
    : state(std::make_shared<State>(context, limits, std::move(handler), std::move(formatError)))
{
    const Tcp::endpoint endpoint(Asio::ip::make_address(address.host), address.port);
    this->state->acceptor.open(endpoint.protocol());
    this->state->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    this->state->acceptor.set_option(ReusePort(true));
    this->state->acceptor.bind(endpoint);
    this->state->acceptor.listen(Asio::socket_base::max_listen_connections);
}

HttpServer::~HttpServer() = default;

HttpAddress HttpServer::address() const
{
    const Tcp::endpoint endpoint = this->state->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::start()
{
    auto state = this->state;
    Asio::co_spawn(
        state->context, [state]() -> Asio::awaitable<void> { co_await state->acceptLoop(); }, Asio::detached);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    this->state->limits = limits;
}

void HttpServer::setMemory(const MemoryBudget &memory)
{
    this->state->memory = memory;
    memory.addRelief([weak = std::weak_ptr(this->state)](MemoryShortage shortage, MemoryUse use, const std::string &client) {
        const auto state = weak.lock();
        return state && state->relieve(shortage, use, client);
    });
}

void HttpServer::setBodyAdmission(BodyAdmission admitBody)
{
    this->state->admitBody = std::move(admitBody);
}

void HttpServer::disableKeepAlive()
{
    this->state->isKeepAliveDisabled = true;
}

void HttpServer::drain()
{
    this->state->drain();
}

void HttpServer::stop()
{
    this->state->closeListener();
    this->state->drain();
}

int HttpServer::openConnections() const
{
    return static_cast<int>(this->state->connections.size());
}

std::uint64_t HttpServer::acceptedConnections() const
{
    return this->state->acceptedConnections;
}

int HttpServer::connectionsWithUnreadBytes() const
{
    const auto &connections = this->state->connections;
    return static_cast<int>(
        std::count_if(connections.begin(), connections.end(), [](const HttpConnection *connection) { return connection->hasUnreadBytes(); }));
}

HttpServerCounters HttpServer::counters() const
{
    return this->state->counters;
}

} // namespace Godwitfork
