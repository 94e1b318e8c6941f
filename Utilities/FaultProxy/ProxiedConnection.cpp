#include "ProxiedConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr std::size_t maxChunkBytes = 16 * 1024;
constexpr std::size_t maxQueuedBytes = 1024 * 1024;
/// With a bandwidth limit, a chunk holds about 10 ms of data, so that data flows evenly. The queue holds about 100 ms of data beyond
/// the delay, so that back-pressure slows the sender down instead of data piling up in a buffer.
constexpr std::int64_t chunksPerSecond = 100;
constexpr double maxQueuedSeconds = 0.1;
constexpr double microsecondsInSecond = 1e6;

void closeWithReset(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}
} // namespace

ProxiedConnection::Pipe::Pipe(Asio::io_context &context, Direction direction, Tcp::socket &from, Tcp::socket &to)
    : direction(direction), from(from), to(to), wakeTimer(context, Asio::steady_timer::time_point::max()), dueTimer(context)
{
}

ProxiedConnection::ProxiedConnection(Asio::io_context &context, std::shared_ptr<Route> route, Tcp::socket client)
    : context(context)
    , route(std::move(route))
    , client(std::move(client))
    , target(context)
    , toTarget(context, Direction::ToTarget, this->client, this->target)
    , toClient(context, Direction::ToClient, this->target, this->client)
{
    this->route->registerConnection(this);
}

ProxiedConnection::~ProxiedConnection()
{
    this->route->unregisterConnection(this);
}

Asio::awaitable<void> ProxiedConnection::run()
{
    boost::system::error_code error;
    const HttpAddress forward = this->route->forward();
    const Tcp::endpoint endpoint(Asio::ip::make_address(forward.host), forward.port);
    co_await this->target.async_connect(endpoint, Asio::redirect_error(Asio::use_awaitable, error));
    if (error || this->closed) {
        this->reset();
        co_return;
    }
    this->client.set_option(Tcp::no_delay(true), error);
    this->target.set_option(Tcp::no_delay(true), error);
    this->startPipe(this->toTarget);
    this->startPipe(this->toClient);
}

void ProxiedConnection::startPipe(Pipe &pipe)
{
    auto self = this->shared_from_this();
    Asio::co_spawn(
        this->context, [self, &pipe]() -> Asio::awaitable<void> { co_await self->readInto(pipe); }, Asio::detached);
    Asio::co_spawn(
        this->context, [self, &pipe]() -> Asio::awaitable<void> { co_await self->writeFrom(pipe); }, Asio::detached);
}

Asio::awaitable<void> ProxiedConnection::readInto(Pipe &pipe)
{
    std::string buffer(maxChunkBytes, '\0');
    boost::system::error_code error;
    while (!this->closed) {
        if (this->isWithheld(pipe.direction) || pipe.queuedBytes >= this->maxQueueSize()) {
            co_await pipe.wakeTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        const auto space = Asio::buffer(buffer.data(), this->maxChunkSize());
        const std::size_t received = co_await pipe.from.async_read_some(space, Asio::redirect_error(Asio::use_awaitable, error));
        if (this->closed) {
            break;
        }
        if (error && error != Asio::error::eof) {
            this->resetUnlessFrozen();
            break;
        }
        this->enqueue(pipe, buffer.substr(0, received));
        if (error == Asio::error::eof) {
            break;
        }
    }
}

void ProxiedConnection::enqueue(Pipe &pipe, std::string bytes)
{
    // A chunk is never due before the preceding one, because jitter must not reorder the bytes of a stream.
    pipe.lastDue = std::max(pipe.lastDue, this->route->scheduleWrite(pipe.direction, bytes.size()));
    pipe.queuedBytes += bytes.size();
    pipe.chunks.push_back({pipe.lastDue, std::move(bytes)});
    pipe.wakeTimer.cancel();
}

Asio::awaitable<void> ProxiedConnection::writeFrom(Pipe &pipe)
{
    boost::system::error_code error;
    while (!this->closed) {
        if (pipe.chunks.empty() || this->isWithheld(pipe.direction)) {
            co_await pipe.wakeTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        if (pipe.chunks.front().due > monotonicNow()) {
            pipe.dueTimer.expires_at(pipe.chunks.front().due);
            co_await pipe.dueTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
            continue;
        }
        const Chunk chunk = std::move(pipe.chunks.front());
        pipe.chunks.pop_front();
        if (chunk.bytes.empty()) {
            pipe.to.shutdown(Tcp::socket::shutdown_send, error);
            break;
        }
        co_await Asio::async_write(pipe.to, Asio::buffer(chunk.bytes), Asio::redirect_error(Asio::use_awaitable, error));
        if (this->closed) {
            break;
        }
        if (error) {
            this->resetUnlessFrozen();
            break;
        }
        pipe.queuedBytes -= chunk.bytes.size();
        this->route->countForwarded(pipe.direction, chunk.bytes.size());
        pipe.wakeTimer.cancel();
    }
}

// Data of a dropped direction is withheld instead of discarded: TCP retransmits lost segments, so after the fault the stream
// continues without a gap.
bool ProxiedConnection::isWithheld(Direction direction) const
{
    const DroppedDirection dropped = this->route->faults().dropped;
    return this->frozen || (direction == Direction::ToTarget && dropped == DroppedDirection::ToTarget)
        || (direction == Direction::ToClient && dropped == DroppedDirection::ToClient);
}

std::size_t ProxiedConnection::maxChunkSize() const
{
    const std::int64_t rate = this->route->faults().bytesPerSecond;
    if (rate == 0) {
        return maxChunkBytes;
    }
    return std::clamp<std::size_t>(static_cast<std::size_t>(rate / chunksPerSecond), 1, maxChunkBytes);
}

std::size_t ProxiedConnection::maxQueueSize() const
{
    const Faults &faults = this->route->faults();
    if (faults.bytesPerSecond == 0) {
        return maxQueuedBytes;
    }
    const double seconds = maxQueuedSeconds + static_cast<double>((faults.delay + faults.jitter).count()) / microsecondsInSecond;
    return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(faults.bytesPerSecond) * seconds));
}

void ProxiedConnection::resetUnlessFrozen()
{
    if (!this->frozen) {
        this->reset();
    }
}

void ProxiedConnection::reset()
{
    this->closed = true;
    closeWithReset(this->client);
    closeWithReset(this->target);
    for (Pipe *pipe : {&this->toTarget, &this->toClient}) {
        pipe->wakeTimer.cancel();
        pipe->dueTimer.cancel();
    }
}

void ProxiedConnection::freeze()
{
    this->frozen = true;
}

void ProxiedConnection::applyChangedFaults()
{
    this->toTarget.wakeTimer.cancel();
    this->toClient.wakeTimer.cancel();
}

bool ProxiedConnection::isFrozen() const
{
    return this->frozen;
}

void startConnection(Asio::io_context &context, std::shared_ptr<Route> route, Tcp::socket client)
{
    auto connection = std::make_shared<ProxiedConnection>(context, std::move(route), std::move(client));
    Asio::co_spawn(
        context, [connection]() -> Asio::awaitable<void> { co_await connection->run(); }, Asio::detached);
}

} // namespace Godwitfork
