#include "LibHttp/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <set>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace
{
class Connection;
using ReusePort = Asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
using Parser = Http::request_parser<Http::string_body>;

constexpr Duration closeTimeout = std::chrono::seconds(1);
constexpr std::size_t maxDiscardedBytes = 4 * 1024 * 1024;
/// Size of the first read of a request; larger headers take further reads.
constexpr std::size_t firstReadBytes = 4096;
/// Time for which a draining server keeps a connection without a request: a new client sends its request within a round trip, and one
/// that was not told of the close by the last response may send another at once.
constexpr Duration drainIdleTime = std::chrono::milliseconds(500);
/// Wait before the next accept if the process has no free descriptor or the server no free connection.
constexpr Duration acceptPause = std::chrono::milliseconds(20);
/// Connections beyond the limit that are open at the same time to have a request refused; further ones wait in the listener's queue.
constexpr int maxRefusedConnections = 64;
} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(Asio::io_context &context, HttpServerLimits limits, HttpHandler handler, HttpErrorFormatter formatError)
        : context(context), acceptor(context), limits(limits), handler(std::move(handler)), formatError(std::move(formatError))
    {
    }

    Asio::awaitable<void> acceptLoop();
    void open(Tcp::socket socket);
    bool mayAccept() const;
    void closeListener();
    void drain();

    Asio::io_context &context;
    Tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpErrorFormatter formatError;
    BodyAdmission admitBody;
    std::set<Connection *> connections;
    std::uint64_t acceptedConnections = 0;
    bool isKeepAliveDisabled = false;
    bool isDraining = false;
};

namespace
{
/// A request with the memory reserved for its body.
struct ReceivedRequest {
    HttpRequest request;
    MemoryReservation memory;
    bool isBodyMissing = false;
};

HttpRequest extractHead(const Parser &parser)
{
    const auto &message = parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

/// Makes room for the bytes of the next read, at most `readBytes`, in a body of unknown length. Returns false if the memory may not be held.
bool growBody(std::string &body, MemoryReservation &memory, std::size_t readBytes)
{
    const std::size_t needed = body.size() + readBytes;
    if (needed <= body.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(needed, 2 * body.capacity());
    // Both copies are held while the bytes move.
    if (!memory.resize(body.size() + capacity)) {
        return false;
    }
    body.reserve(capacity);
    return memory.resize(capacity);
}

/// Serves the requests of one TCP connection, one after the other.
class Connection
    : public HttpExchange
    , public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket socket, std::shared_ptr<HttpServer::State> state, bool isBeyondLimit);
    ~Connection() override;

    Asio::awaitable<void> run();
    /// Applies the limit of the time without a request again, if the connection waits for one.
    void checkIdle();
    bool hasUnreadBytes() const;

    const HttpRequest &request() const override;
    std::shared_ptr<const std::string> sharedBody() const override;
    bool isBodyMissing() const override;
    Asio::awaitable<bool> respond(HttpResponse response) override;
    Asio::awaitable<bool> startStream(int status, HttpHeaders headers) override;
    Asio::awaitable<bool> writeChunk(std::string bytes) override;
    Asio::awaitable<bool> finishStream() override;
    void abort() override;
    void onClientDisconnect(std::function<void()> callback) override;

private:
    void watchForDisconnect();
    void stopWatching();
    MonotonicTime idleEnd() const;
    /// Waits for the first bytes of a request. Returns false if the client has closed the connection or none arrived in time.
    Asio::awaitable<bool> waitForRequest();
    Asio::awaitable<bool> readRequest();
    Asio::awaitable<boost::system::error_code> readBody(Parser &parser);
    Asio::awaitable<void> readUntilClosed();
    Asio::awaitable<void> respondWithError(int status, const std::string &code, const std::string &message);
    template<typename Message>
    void setHeaders(Message &message, const HttpHeaders &headers);

    Beast::tcp_stream stream;
    std::shared_ptr<HttpServer::State> state;
    Beast::flat_buffer buffer;
    std::shared_ptr<ReceivedRequest> current;
    std::function<void()> disconnectHandler;
    /// Number of the current disconnect watch; a completion with another number belongs to an earlier request.
    std::uint64_t watchNumber = 0;
    Asio::steady_timer idleTimer;
    MonotonicTime idleSince;
    /// Whether the connection exceeds the limit, so that its request is refused.
    bool isBeyondLimit;
    bool keepAlive = true;
    bool isIdle = false;
};

Connection::Connection(Tcp::socket socket, std::shared_ptr<HttpServer::State> state, bool isBeyondLimit)
    : stream(std::move(socket)), state(std::move(state)), idleTimer(this->state->context), isBeyondLimit(isBeyondLimit)
{
    // `watchForDisconnect` and `waitForRequest` look into the receive buffer and must not block.
    boost::system::error_code ignored;
    this->stream.socket().non_blocking(true, ignored);
    this->state->connections.insert(this);
}

Connection::~Connection()
{
    this->state->connections.erase(this);
}

void Connection::checkIdle()
{
    if (this->isIdle) {
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

bool Connection::hasUnreadBytes() const
{
    boost::system::error_code ignored;
    return this->stream.socket().available(ignored) > 0;
}

const HttpRequest &Connection::request() const
{
    return this->current->request;
}

std::shared_ptr<const std::string> Connection::sharedBody() const
{
    return {this->current, &this->current->request.body};
}

bool Connection::isBodyMissing() const
{
    return this->current->isBodyMissing;
}

void Connection::abort()
{
    this->keepAlive = false;
    this->stream.close();
}

void Connection::onClientDisconnect(std::function<void()> callback)
{
    this->disconnectHandler = std::move(callback);
    this->watchForDisconnect();
}

// Bytes that arrive while a request is in progress belong to a pipelined request and end the watch. Only the end of the stream
// or a socket error means that the client has disconnected.
void Connection::watchForDisconnect()
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

void Connection::stopWatching()
{
    ++this->watchNumber;
    if (this->disconnectHandler) {
        this->disconnectHandler = nullptr;
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

template<typename Message>
void Connection::setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
    this->keepAlive = this->keepAlive && !this->state->isKeepAliveDisabled;
    message.keep_alive(this->keepAlive);
}

Asio::awaitable<bool> Connection::respond(HttpResponse response)
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

Asio::awaitable<bool> Connection::startStream(int status, HttpHeaders headers)
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

Asio::awaitable<bool> Connection::writeChunk(std::string bytes)
{
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    const auto chunk = Http::make_chunk(Asio::buffer(bytes));
    co_await Asio::async_write(this->stream, chunk, Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<bool> Connection::finishStream()
{
    boost::system::error_code error;
    this->stream.expires_after(this->state->limits.writeTimeout);
    co_await Asio::async_write(this->stream, Http::make_chunk_last(), Asio::redirect_error(Asio::use_awaitable, error));
    this->keepAlive = this->keepAlive && !error;
    co_return !error;
}

Asio::awaitable<void> Connection::respondWithError(int status, const std::string &code, const std::string &message)
{
    this->keepAlive = false;
    co_await this->respond(this->state->formatError(status, code, message));
}

MonotonicTime Connection::idleEnd() const
{
    const Duration limit = this->state->limits.idleTimeout;
    return this->idleSince + (this->state->isDraining || this->isBeyondLimit ? std::min(limit, drainIdleTime) : limit);
}

// The stream's own timeout would close the socket whatever has arrived on it and is not read yet, which resets the connection. Here the socket is
// read once more after the time is over.
Asio::awaitable<bool> Connection::waitForRequest()
{
    this->idleSince = monotonicNow();
    while (this->buffer.size() == 0) {
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
        // `checkIdle` ends the read, which has then taken nothing.
        if (error && error != Asio::error::operation_aborted) {
            co_return false;
        }
    }
    co_return true;
}

Asio::awaitable<bool> Connection::readRequest()
{
    const HttpServerLimits &limits = this->state->limits;
    Parser parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    boost::system::error_code error;

    this->stream.expires_after(limits.requestTimeout);
    co_await Http::async_read_header(this->stream, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    if (!error) {
        this->current = std::make_shared<ReceivedRequest>();
        error = co_await this->readBody(parser);
    }
    if (!error) {
        this->keepAlive = parser.keep_alive() && !this->current->isBodyMissing;
        this->current->request = extractHead(parser);
        this->current->request.body = std::move(parser.get().body());
        co_return true;
    }
    this->current.reset();
    if (error == Http::error::body_limit) {
        co_await this->respondWithError(413, "body_too_large", "the request body exceeds " + std::to_string(limits.maxBodyBytes) + " bytes");
    } else if (error == Http::error::header_limit) {
        co_await this->respondWithError(431, "header_too_large", "the request header exceeds " + std::to_string(limits.maxHeaderBytes) + " bytes");
    } else if (error == Beast::error::timeout) {
        co_await this->respondWithError(408, "request_timeout", "the request was not received completely within the time limit");
    } else if (error.category() == Http::make_error_code(Http::error::bad_method).category() && error != Http::error::end_of_stream
               && error != Http::error::partial_message) {
        co_await this->respondWithError(400, "malformed_request", "the request is not valid HTTP: " + error.message());
    }
    co_return false;
}

Asio::awaitable<boost::system::error_code> Connection::readBody(Parser &parser)
{
    boost::system::error_code error;
    MemoryReservation &memory = this->current->memory;
    const bool hasBody = parser.chunked() || parser.content_length().value_or(0) > 0;
    if (hasBody && this->state->admitBody) {
        std::optional<MemoryReservation> admitted = this->state->admitBody(extractHead(parser));
        if (!admitted || !admitted->resize(parser.content_length().value_or(0))) {
            this->current->isBodyMissing = true;
            co_return error;
        }
        memory = std::move(*admitted);
    }
    if (Beast::iequals(parser.get()[Http::field::expect], "100-continue")) {
        static constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await Asio::async_write(this->stream, Asio::buffer(continueLine), Asio::redirect_error(Asio::use_awaitable, error));
    }
    while (!error && !parser.is_done()) {
        // A read prepares the rest of the buffer or, if it is nearly full, this many bytes.
        static constexpr std::size_t leastRead = 512;
        if (parser.chunked() && !growBody(parser.get().body(), memory, this->buffer.capacity() + leastRead)) {
            parser.get().body() = std::string();
            this->current->isBodyMissing = true;
            memory = MemoryReservation();
            co_return error;
        }
        co_await Http::async_read_some(this->stream, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    }
    co_return error;
}

Asio::awaitable<void> Connection::run()
{
    while (this->keepAlive) {
        const bool hasRequest = co_await this->waitForRequest();
        if (!hasRequest) {
            // A request that crosses the close stays unread, which tells the client that it was not taken.
            co_return;
        }
        const bool complete = co_await this->readRequest();
        if (!complete) {
            break;
        }
        if (this->isBeyondLimit) {
            co_await this->respondWithError(503, "too_many_connections", "the server has no free connection");
            break;
        }
        co_await this->state->handler(*this);
        this->stopWatching();
        // The next body is not read while this one is held.
        this->current.reset();
    }
    co_await this->readUntilClosed();
}

// Discards what the client still sends before the socket closes. Closing a socket with unread bytes resets the connection, and
// the reset can make the client lose the response.
Asio::awaitable<void> Connection::readUntilClosed()
{
    boost::system::error_code error;
    this->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    std::size_t discarded = 0;
    this->stream.expires_after(closeTimeout);
    while (!error && discarded < maxDiscardedBytes) {
        this->buffer.clear();
        discarded += co_await this->stream.async_read_some(this->buffer.prepare(4096), Asio::redirect_error(Asio::use_awaitable, error));
    }
}
} // namespace

Asio::awaitable<void> HttpServer::State::acceptLoop()
{
    auto self = this->shared_from_this();
    Asio::steady_timer pause(this->context);
    while (this->acceptor.is_open()) {
        boost::system::error_code error;
        if (!this->mayAccept()) {
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
    return static_cast<int>(this->connections.size()) < this->limits.maxConnections + maxRefusedConnections;
}

void HttpServer::State::open(Tcp::socket socket)
{
    const bool isBeyondLimit = static_cast<int>(this->connections.size()) >= this->limits.maxConnections;
    ++this->acceptedConnections;
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(std::move(socket), this->shared_from_this(), isBeyondLimit);
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
    for (Connection *connection : this->connections) {
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
    return static_cast<int>(std::count_if(connections.begin(), connections.end(), [](const Connection *connection) { return connection->hasUnreadBytes(); }));
}

} // namespace Godwitfork
