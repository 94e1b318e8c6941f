#include "Route.h"

#include "LibCore/Digest.h"
#include "ProxiedConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <vector>

namespace Godwitfork
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
using ReusePort = Asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Delay after a failed accept, so that the loop does not occupy a whole core while file descriptors are exhausted.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(10);
constexpr double microsecondsInSecond = 1e6;

std::size_t directionIndex(Direction direction)
{
    return direction == Direction::ToTarget ? 0 : 1;
}

void bindTo(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(ReusePort(true));
    acceptor.bind(endpoint);
}
} // namespace

Route::Route(Asio::io_context &context, std::string name, HttpAddress forward, std::uint64_t seed)
    : context(context), routeName(std::move(name)), target(std::move(forward)), random(hash64(this->routeName, seed)), portReservation(context)
{
    // This socket never listens. It reserves the port against other processes while the route is cut and has no listener.
    bindTo(this->portReservation, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
}

void Route::start()
{
    this->listen();
}

void Route::listen()
{
    this->listener = std::make_shared<Acceptor>(this->context);
    bindTo(*this->listener, this->portReservation.local_endpoint());
    this->listener->listen(Asio::socket_base::max_listen_connections);
    auto self = this->shared_from_this();
    auto acceptor = this->listener;
    Asio::co_spawn(
        this->context, [self, acceptor]() -> Asio::awaitable<void> { co_await self->acceptLoop(acceptor); }, Asio::detached);
}

Asio::awaitable<void> Route::acceptLoop(std::shared_ptr<Acceptor> acceptor)
{
    while (acceptor->is_open()) {
        boost::system::error_code error;
        Tcp::socket socket = co_await acceptor->async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (!acceptor->is_open()) {
            break;
        }
        if (error) {
            Asio::steady_timer timer(this->context, acceptRetryDelay);
            co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        startConnection(this->context, this->shared_from_this(), std::move(socket));
    }
}

void Route::setFaults(const Faults &faults)
{
    const bool wasCut = this->currentFaults.reachability == Reachability::Cut;
    const bool isCut = faults.reachability == Reachability::Cut;
    this->currentFaults = faults;
    if (isCut && !wasCut) {
        this->listener->close();
    }
    if (wasCut && !isCut) {
        this->listen();
    }
    // Iterates over a copy, because a reset connection is removed from the set.
    const std::vector<ProxiedConnection *> open(this->connections.begin(), this->connections.end());
    for (ProxiedConnection *connection : open) {
        if (isCut) {
            connection->resetUnlessFrozen();
        } else {
            connection->applyChangedFaults();
        }
    }
}

int Route::freeze()
{
    const int before = this->frozenConnections();
    for (ProxiedConnection *connection : this->connections) {
        connection->freeze();
    }
    return this->frozenConnections() - before;
}

void Route::setForward(HttpAddress address)
{
    this->target = std::move(address);
}

const std::string &Route::name() const
{
    return this->routeName;
}

HttpAddress Route::address() const
{
    const Tcp::endpoint endpoint = this->portReservation.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

const HttpAddress &Route::forward() const
{
    return this->target;
}

const Faults &Route::faults() const
{
    return this->currentFaults;
}

int Route::openConnections() const
{
    return static_cast<int>(this->connections.size());
}

int Route::frozenConnections() const
{
    const auto isFrozen = [](const ProxiedConnection *connection) { return connection->isFrozen(); };
    return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(), isFrozen));
}

std::int64_t Route::bytesForwarded(Direction direction) const
{
    return this->forwardedBytes[directionIndex(direction)];
}

MonotonicTime Route::scheduleWrite(Direction direction, std::size_t bytes)
{
    MonotonicTime due = monotonicNow();
    if (this->currentFaults.bytesPerSecond > 0) {
        const double seconds = static_cast<double>(bytes) / static_cast<double>(this->currentFaults.bytesPerSecond);
        MonotonicTime &linkFreeTime = this->linkFreeTimes[directionIndex(direction)];
        linkFreeTime = std::max(linkFreeTime, due) + Duration(static_cast<Duration::rep>(seconds * microsecondsInSecond));
        due = linkFreeTime;
    }
    std::uniform_int_distribution<Duration::rep> jitter(0, this->currentFaults.jitter.count());
    return due + this->currentFaults.delay + Duration(jitter(this->random));
}

void Route::countForwarded(Direction direction, std::size_t bytes)
{
    this->forwardedBytes[directionIndex(direction)] += static_cast<std::int64_t>(bytes);
}

void Route::registerConnection(ProxiedConnection *connection)
{
    this->connections.insert(connection);
}

void Route::unregisterConnection(ProxiedConnection *connection)
{
    this->connections.erase(connection);
}

} // namespace Godwitfork
