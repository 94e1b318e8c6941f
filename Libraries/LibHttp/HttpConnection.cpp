#include "LibHttp/HttpConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr Duration closeTimeout = std::chrono::seconds(1);
constexpr std::size_t maxDiscardedBytes = 4 * 1024 * 1024;
/// Size of a read whose bytes are discarded.
constexpr std::size_t discardBytes = 4096;
/// Largest buffer that a connection keeps between two requests.
constexpr std::size_t mostIdleBuffer = std::size_t {8} * 1024;
/// A caller that was refused for lack of memory or connections may return after this time, in seconds.
constexpr const char *retryAfter = "1";
constexpr int notReadyStatus = 503;
} // namespace

HttpConnection::HttpConnection(Tcp::socket socket, std::string address, std::shared_ptr<HttpServer::State> state, bool isBeyondLimit)
    : stream(std::move(socket))
    , clientAddress(std::move(address))
    , state(std::move(state))
    , memory(this->state->openMemory(MemoryUse::Connection, this->clientAddress))
    , idleTimer(this->state->context)
    , phaseSince(monotonicNow())
    , isBeyondLimit(isBeyondLimit)
{
    // `watchForDisconnect` and `waitForRequest` look into the receive buffer and must not block.
    boost::system::error_code ignored;
    this->stream.socket().non_blocking(true, ignored);
    this->state->connections.insert(this);
    ++this->state->connectionsByAddress[this->clientAddress];
    if (!this->reserve(0)) {
        this->isBeyondLimit = true;
    }
}

HttpConnection::~HttpConnection()
{
    this->state->connections.erase(this);
    if (this->isEvicted) {
        --this->state->evictedOpen;
        return;
    }
    const auto entry = this->state->connectionsByAddress.find(this->clientAddress);
    if (--entry->second == 0) {
        this->state->connectionsByAddress.erase(entry);
    }
}

void HttpConnection::checkIdle()
{
    if (this->isIdle) {
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

bool HttpConnection::hasUnreadBytes() const
{
    boost::system::error_code ignored;
    return this->stream.socket().available(ignored) > 0;
}

const std::string &HttpConnection::address() const
{
    return this->clientAddress;
}

bool HttpConnection::holdsFor(MemoryUse use, const std::string &client) const
{
    if (use == MemoryUse::Connection) {
        return this->clientAddress == client;
    }
    return this->current && this->current->memory.size() > 0 && this->current->memory.clientName() == client;
}

std::size_t HttpConnection::bodyMemory() const
{
    return this->current ? this->current->memory.size() : 0;
}

bool HttpConnection::isEvictable() const
{
    return !this->isEvicted && (this->isIdle || this->isReading || this->phase == ConnectionPhase::Closing);
}

EvictionCandidate HttpConnection::evictionCandidate(MonotonicTime now) const
{
    EvictionCandidate candidate;
    candidate.phase = this->phase;
    candidate.since = this->phaseSince;
    candidate.recentBytesPerSecond = this->progress.recentBytesPerSecond(now);
    candidate.heldBytes = this->memory.size() + this->bodyMemory();
    return candidate;
}

// The pending read refers to the buffer only; it ends, and the coroutine with it, when the event loop continues.
void HttpConnection::evict()
{
    this->isEvicted = true;
    ++this->state->evictedOpen;
    const auto entry = this->state->connectionsByAddress.find(this->clientAddress);
    if (--entry->second == 0) {
        this->state->connectionsByAddress.erase(entry);
    }
    this->receiver.reset();
    this->current.reset();
    this->memory.resize(0);
    boost::system::error_code ignored;
    this->stream.socket().cancel(ignored);
    ++this->state->counters.evictedConnections;
    this->state->logCounters();
}

const HttpRequest &HttpConnection::request() const
{
    return this->current->request;
}

std::shared_ptr<const std::string> HttpConnection::sharedBody() const
{
    return {this->current, &this->current->request.body};
}

bool HttpConnection::isBodyMissing() const
{
    return this->current->isBodyMissing;
}

void HttpConnection::abort()
{
    this->keepAlive = false;
    this->stream.close();
}

void HttpConnection::onClientDisconnect(std::function<void()> callback)
{
    this->disconnectHandler = std::move(callback);
    this->watchForDisconnect();
}

// Bytes that arrive while a request is in progress belong to a pipelined request and end the watch. Only the end of the stream or a socket error
// means that the client has disconnected.
void HttpConnection::watchForDisconnect()
{
    const std::uint64_t current = ++this->watchNumber;
    this->stream.socket().async_wait(Tcp::socket::wait_read, [self = this->shared_from_this(), current](const boost::system::error_code &error) {
        if (error || current != self->watchNumber || !self->disconnectHandler) {
            return;
        }
        boost::system::error_code peekError;
        char probe = 0;
        const std::size_t received = self->stream.socket().receive(Asio::buffer(&probe, 1), Tcp::socket::message_peek, peekError);
        if (peekError == Asio::error::would_block || (!peekError && received > 0)) {
            return;
        }
        self->keepAlive = false;
        const std::function<void()> callback = std::move(self->disconnectHandler);
        self->disconnectHandler = nullptr;
        callback();
    });
}

void HttpConnection::stopWatching()
{
    ++this->watchNumber;
    if (this->disconnectHandler) {
        this->disconnectHandler = nullptr;
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

template<typename Message>
void HttpConnection::setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
    this->keepAlive = this->keepAlive && !this->state->isKeepAliveDisabled;
    message.keep_alive(this->keepAlive);
}

Asio::awaitable<bool> HttpConnection::respond(HttpResponse response)
{
    Http::response<Http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    message.version(11);
    this->setHeaders(message, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    co_await Http::async_write(this->stream, message, Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<bool> HttpConnection::startStream(int status, HttpHeaders headers)
{
    Http::response<Http::empty_body> message;
    message.result(static_cast<unsigned>(status));
    message.version(11);
    this->setHeaders(message, headers);
    message.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(message);
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    co_await Http::async_write_header(this->stream, serializer, Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<bool> HttpConnection::writeChunk(std::string bytes)
{
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    const auto chunk = Http::make_chunk(Asio::buffer(bytes));
    co_await Asio::async_write(this->stream, chunk, Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<bool> HttpConnection::finishStream()
{
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    co_await Asio::async_write(this->stream, Http::make_chunk_last(), Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<void> HttpConnection::respondWithError(HttpRefusal given)
{
    this->keepAlive = false;
    HttpResponse response = this->state->formatError(given.status, given.code, given.message);
    if (given.status == notReadyStatus) {
        response.headers.push_back({"Retry-After", retryAfter});
    }
    co_await this->respond(std::move(response));
}

Asio::awaitable<void> HttpConnection::run()
{
    while (this->keepAlive) {
        const bool hasRequest = co_await this->waitForRequest();
        if (!hasRequest || this->isEvicted) {
            // A request that crosses the close stays unread, which tells the client that it was not taken.
            co_return;
        }
        const bool complete = co_await this->readRequest();
        if (!complete) {
            break;
        }
        this->enter(ConnectionPhase::Serving);
        co_await this->state->handler(*this);
        this->stopWatching();
        // The next body is not read while this one is held.
        this->current.reset();
        if (this->buffer.size() == 0 && this->buffer.capacity() > mostIdleBuffer) {
            this->buffer.shrink_to_fit();
        }
        this->reserve(0);
    }
    if (!this->isEvicted) {
        co_await this->readUntilClosed();
    }
}

// Discards what the client still sends before the socket closes. Closing a socket with unread bytes resets the connection, and the reset can make the
// client lose the response.
Asio::awaitable<void> HttpConnection::readUntilClosed()
{
    this->enter(ConnectionPhase::Closing);
    boost::system::error_code error;
    this->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    std::size_t discarded = 0;
    this->stream.expires_after(closeTimeout);
    while (!error && discarded < maxDiscardedBytes && !this->isEvicted) {
        this->buffer.clear();
        discarded += co_await this->stream.async_read_some(this->buffer.prepare(discardBytes), Asio::redirect_error(Asio::use_awaitable, error));
    }
}

} // namespace Godwitfork
