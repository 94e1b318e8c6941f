#include "LibHttp/HttpConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Size of the first read of a request; larger headers take further reads.
constexpr std::size_t firstReadBytes = 4096;
/// Least room for a further read.
constexpr std::size_t leastReadBytes = 512;
/// Time for which a draining server keeps a connection without a request: a new client sends its request within a round trip, and one that was not
/// told of the close by the last response may send another at once.
constexpr Duration drainIdleTime = std::chrono::milliseconds(500);
/// Interval of the checks whether a request makes progress.
constexpr Duration progressInterval = std::chrono::seconds(1);
/// Memory of a connection without its buffer: the socket, the timers and the coroutines that read.
constexpr std::size_t connectionBytes = std::size_t {8} * 1024;
/// Memory of a request in progress besides its head and body: its coroutines and its connection to an endpoint. Measured as 37 KB with 800 requests
/// in progress at an entry, the connection included.
constexpr std::size_t requestBytes = std::size_t {32} * 1024;
constexpr int notReadyStatus = 503;
} // namespace

void HttpConnection::enter(ConnectionPhase newPhase)
{
    this->phase = newPhase;
    this->phaseSince = monotonicNow();
}

bool HttpConnection::resizeMemory(MemoryReservation &reservation, std::size_t bytes)
{
    // A connection must not be chosen to release what it is about to use.
    this->state->demanding = this;
    const bool isHeld = reservation.resize(bytes);
    this->state->demanding = nullptr;
    return isHeld;
}

bool HttpConnection::reserve(std::size_t additional)
{
    const std::size_t head = this->receiver ? this->receiver->headMemory() : 0;
    return this->resizeMemory(this->memory, connectionBytes + std::max(this->buffer.capacity(), firstReadBytes) + head + additional);
}

MonotonicTime HttpConnection::idleEnd() const
{
    const Duration limit = this->state->limits.idleTimeout;
    return this->idleSince + (this->state->isDraining || this->isBeyondLimit ? std::min(limit, drainIdleTime) : limit);
}

// The stream's own timeout would close the socket whatever has arrived on it and is not read yet, which resets the connection. Here the socket is
// read once more after the time is over.
Asio::awaitable<bool> HttpConnection::waitForRequest()
{
    this->enter(ConnectionPhase::Idle);
    this->idleSince = monotonicNow();
    while (this->buffer.size() == 0 && !this->isEvicted) {
        boost::system::error_code error;
        if (this->idleEnd() <= monotonicNow()) {
            this->buffer.commit(this->stream.socket().read_some(this->buffer.prepare(firstReadBytes), error));
            co_return this->buffer.size() > 0;
        }
        this->idleTimer.expires_at(this->idleEnd());
        this->idleTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &timerError) {
            if (!timerError) {
                self->checkIdle();
            }
        });
        this->isIdle = true;
        const std::size_t received =
            co_await this->stream.socket().async_read_some(this->buffer.prepare(firstReadBytes), Asio::redirect_error(Asio::use_awaitable, error));
        this->isIdle = false;
        this->idleTimer.cancel();
        this->buffer.commit(received);
        // `checkIdle` and `evict` end the read, which has then taken nothing.
        if (error && error != Asio::error::operation_aborted) {
            co_return false;
        }
    }
    co_return this->buffer.size() > 0;
}

HttpConnection::Received HttpConnection::refuse(HttpRefusal given)
{
    this->refusal = std::move(given);
    return Received::Refused;
}

HttpConnection::Received HttpConnection::refuseForMemory()
{
    ++this->state->counters.refusedRequests;
    this->state->logCounters();
    return this->refuse({notReadyStatus, "memory_short", "the server has no memory for the request, which was not run"});
}

HttpConnection::Received HttpConnection::dropBody()
{
    if (!this->state->admitBody) {
        return this->refuseForMemory();
    }
    this->current->memory = MemoryReservation();
    this->current->isBodyMissing = true;
    this->current->request = this->receiver->head();
    this->keepAlive = false;
    return Received::Complete;
}

HttpConnection::Received HttpConnection::completeRequest()
{
    // The attempts at endpoints take a copy of the head.
    if (!this->reserve(requestBytes + this->receiver->headMemory())) {
        return this->refuseForMemory();
    }
    this->keepAlive = this->receiver->keepsAlive();
    this->current->request = this->receiver->head();
    this->current->request.body = this->receiver->takeBody();
    return Received::Complete;
}

Asio::awaitable<std::optional<HttpConnection::Received>> HttpConnection::takeHead()
{
    if (this->isBeyondLimit) {
        ++this->state->counters.refusedConnections;
        this->state->logCounters();
        co_return this->refuse({notReadyStatus, "too_many_connections", "the server has no free connection"});
    }
    this->current = std::make_shared<ReceivedRequest>();
    if (!this->reserve(0)) {
        co_return this->refuseForMemory();
    }
    if (!this->receiver->hasBody()) {
        co_return std::nullopt;
    }
    std::optional<MemoryReservation> admitted =
        this->state->admitBody ? this->state->admitBody(this->receiver->head()) : this->state->openMemory(MemoryUse::RequestBody, this->clientAddress);
    if (admitted && admitted->clientName().empty()) {
        admitted->setClient(this->clientAddress);
    }
    if (!admitted || !this->resizeMemory(*admitted, this->receiver->statedLength())) {
        co_return this->dropBody();
    }
    this->current->memory = std::move(*admitted);
    if (this->receiver->expectsContinue()) {
        static constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code error;
        this->stream.expires_after(this->state->limits.writeTimeout);
        co_await Asio::async_write(this->stream, Asio::buffer(continueLine), Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return Received::Lost;
        }
    }
    co_return std::nullopt;
}

MonotonicTime HttpConnection::receiveEnd() const
{
    const Duration limit = this->state->limits.requestTimeout;
    return this->progress.startedAt() + (this->isBeyondLimit ? std::min(limit, drainIdleTime) : limit);
}

void HttpConnection::checkReceiving()
{
    if (!this->isReading) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    const bool isOver = now >= this->receiveEnd();
    if (!isOver && !isTooSlow(this->progress, this->state->limits.progress, now)) {
        this->watchReceiving();
        return;
    }
    this->isTooLate = true;
    boost::system::error_code ignored;
    this->stream.socket().cancel(ignored);
}

void HttpConnection::watchReceiving()
{
    const HttpServerLimits &limits = this->state->limits;
    const MonotonicTime firstCheck = this->progress.startedAt() + limits.progress.grace + progressInterval;
    const MonotonicTime nextCheck = std::max(firstCheck, monotonicNow() + progressInterval);
    this->idleTimer.expires_at(std::min(this->receiveEnd(), nextCheck));
    this->idleTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->checkReceiving();
        }
    });
}

Asio::awaitable<HttpConnection::Received> HttpConnection::readMore()
{
    if (this->buffer.size() + leastReadBytes > this->buffer.capacity()) {
        // Both copies are held while the buffer grows.
        if (!this->reserve(2 * this->buffer.capacity() + leastReadBytes)) {
            co_return this->refuseForMemory();
        }
    }
    const std::size_t room = std::max(leastReadBytes, this->buffer.capacity() - this->buffer.size());
    const auto target = this->buffer.prepare(room);
    this->reserve(0);
    boost::system::error_code error;
    this->isReading = true;
    const std::size_t received = co_await this->stream.socket().async_read_some(target, Asio::redirect_error(Asio::use_awaitable, error));
    this->isReading = false;
    this->buffer.commit(received);
    if (this->isEvicted) {
        co_return this->refuse({notReadyStatus,
                                "memory_short",
                                "the request arrived too slowly while the server "
                                "was short of memory or connections"});
    }
    this->progress.add(received, monotonicNow());
    if (this->isTooLate && error) {
        ++this->state->counters.slowRequests;
        this->state->logCounters();
        co_return this->refuse({408, "request_timeout", "the request was not received completely within the time limit"});
    }
    co_return error ? Received::Lost : Received::Complete;
}

Asio::awaitable<HttpConnection::Received> HttpConnection::receive()
{
    bool isWatched = false;
    while (true) {
        MemoryReservation none;
        this->state->demanding = this;
        const RequestReceiver::Step step = this->receiver->parse(this->buffer, this->current ? this->current->memory : none);
        this->state->demanding = nullptr;
        if (step == RequestReceiver::Step::Complete) {
            co_return this->completeRequest();
        }
        if (step == RequestReceiver::Step::Failed) {
            this->state->counters.oversizedRequests += this->receiver->refusal().code == "header_too_large" ? 1 : 0;
            co_return this->refuse(this->receiver->refusal());
        }
        if (step == RequestReceiver::Step::NoMemory) {
            co_return this->dropBody();
        }
        if (step == RequestReceiver::Step::Head) {
            const std::optional<Received> end = co_await this->takeHead();
            if (end) {
                co_return *end;
            }
            continue;
        }
        if (!isWatched) {
            isWatched = true;
            this->watchReceiving();
        }
        const Received read = co_await this->readMore();
        if (read != Received::Complete) {
            co_return read;
        }
    }
}

Asio::awaitable<bool> HttpConnection::readRequest()
{
    this->enter(ConnectionPhase::Receiving);
    this->progress.begin(this->phaseSince);
    this->progress.add(this->buffer.size(), this->phaseSince);
    this->isTooLate = false;
    RequestLimits limits;
    limits.maxHeaderBytes = this->state->limits.maxHeaderBytes;
    limits.maxBodyBytes = this->state->limits.maxBodyBytes;
    this->receiver = std::make_unique<RequestReceiver>(limits);
    const Received received = co_await this->receive();
    this->idleTimer.cancel();
    this->receiver.reset();
    if (received == Received::Complete) {
        co_return true;
    }
    this->current.reset();
    this->keepAlive = false;
    this->enter(ConnectionPhase::Closing);
    if (received == Received::Refused) {
        co_await this->respondWithError(std::move(this->refusal));
    }
    co_return false;
}

} // namespace Godwitfork
