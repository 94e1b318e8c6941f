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

/// Wait after a failed accept, so that a lack of file descriptors does not take a whole core.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(10);
constexpr double microsecondsInSecond = 1e6;

std::size_t indexOf(Direction direction)
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
    : context(context), routeName(std::move(name)), target(std::move(forward)), random(hash64(this->routeName, seed)), reservation(context)
{
    // This socket never listens. It keeps the port from other processes while the route is cut and has no listener.
    bindTo(this->reservation, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
}

void Route::start()
{
    this->listen();
}

void Route::listen()
{
    this->listener = std::make_shared<Acceptor>(this->context);
    bindTo(*this->listener, this->reservation.local_endpoint());
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
    const bool wasCut = this->current.reachability == Reachability::Cut;
    const bool isCut = faults.reachability == Reachability::Cut;
    this->current = faults;
    if (isCut && !wasCut) {
        this->listener->close();
    }
    if (wasCut && !isCut) {
        this->listen();
    }
    // Resetting a connection removes it from the set.
    const std::vector<ProxiedConnection *> open(this->connections.begin(), this->connections.end());
    for (ProxiedConnection *connection : open) {
        if (isCut) {
            connection->cut();
        } else {
            connection->notifyFaultsChanged();
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
    const Tcp::endpoint endpoint = this->reservation.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

const HttpAddress &Route::forward() const
{
    return this->target;
}

const Faults &Route::faults() const
{
    return this->current;
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
    return this->forwarded[indexOf(direction)];
}

MonotonicTime Route::dueTime(Direction direction, std::size_t bytes)
{
    MonotonicTime due = monotonicNow();
    if (this->current.bytesPerSecond > 0) {
        const double seconds = static_cast<double>(bytes) / static_cast<double>(this->current.bytesPerSecond);
        MonotonicTime &free = this->linkFree[indexOf(direction)];
        free = std::max(free, due) + Duration(static_cast<Duration::rep>(seconds * microsecondsInSecond));
        due = free;
    }
    std::uniform_int_distribution<Duration::rep> jitter(0, this->current.jitter.count());
    return due + this->current.delay + Duration(jitter(this->random));
}

void Route::countForwarded(Direction direction, std::size_t bytes)
{
    this->forwarded[indexOf(direction)] += static_cast<std::int64_t>(bytes);
}

void Route::add(ProxiedConnection *connection)
{
    this->connections.insert(connection);
}

void Route::remove(ProxiedConnection *connection)
{
    this->connections.erase(connection);
}

} // namespace Godwitfork
