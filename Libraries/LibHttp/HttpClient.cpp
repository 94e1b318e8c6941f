#include "LibHttp/HttpClient.h"

#include "LibHttp/OutgoingRequest.h"
#include "LibHttp/ResponseHead.h"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr std::size_t readBufferBytes = 16 * 1024;
/// Bytes received and not parsed yet: a few times the longest head, small enough for hundreds of peers that never end an element.
constexpr std::size_t maxBufferedBytes = std::size_t {32} * 1024;
constexpr std::size_t maxIdleConnectionsPerAddress = 256;
/// Shorter than the idle timeout of HttpServer, 75 s, so that the server does not close a connection just when it is
/// reused.
constexpr Duration maxPooledIdleTime = std::chrono::seconds(20);
/// Time between two searches for connections that expired.
constexpr Duration expiryInterval = std::chrono::seconds(1);
/// Subtracted from the keep-alive timeout that the peer announces, since the peer starts its timer earlier than this client.
constexpr Duration keepAliveMargin = std::chrono::seconds(1);
/// Responses to earlier requests that one call skips; the call fails if more follow.
constexpr int maxSkippedResponses = 2;
/// Bytes of one skipped response. A longer one costs more to read than a new connection.
constexpr std::size_t maxSkippedBytes = std::size_t {256} * 1024;
/// Interim responses to one request; servers send one or two.
constexpr int maxInterimResponses = 8;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

using UserTimeout = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using SharedStream = std::shared_ptr<Beast::tcp_stream>;

struct PooledConnection {
    SharedStream stream;
    MonotonicTime expires;
};
} // namespace

struct HttpClient::State {
    explicit State(Asio::io_context &context) : context(context)
    {
    }

    SharedStream takePooled(const HttpAddress &address);
    /// Closes connections that expired, also to addresses that are not called any more.
    void closeExpired(MonotonicTime now);
    void returnToPool(const HttpAddress &address, SharedStream stream, Duration keepAliveTime);

    Asio::io_context &context;
    std::map<HttpAddress, std::vector<PooledConnection>> pool;
    MonotonicTime nextExpiry;
};

void HttpClient::State::closeExpired(MonotonicTime now)
{
    if (now < this->nextExpiry) {
        return;
    }
    this->nextExpiry = now + expiryInterval;
    for (auto entry = this->pool.begin(); entry != this->pool.end();) {
        std::erase_if(entry->second, [now](const PooledConnection &connection) { return now > connection.expires; });
        entry = entry->second.empty() ? this->pool.erase(entry) : std::next(entry);
    }
}

SharedStream HttpClient::State::takePooled(const HttpAddress &address)
{
    this->closeExpired(monotonicNow());
    std::vector<PooledConnection> &connections = this->pool[address];
    while (!connections.empty()) {
        PooledConnection connection = std::move(connections.back());
        connections.pop_back();
        if (monotonicNow() > connection.expires) {
            continue;
        }
        // An idle connection that is readable was closed by the peer or holds bytes that belong to no request.
        boost::system::error_code error;
        connection.stream->socket().non_blocking(true, error);
        char probe = 0;
        connection.stream->socket().receive(Asio::buffer(&probe, 1), Tcp::socket::message_peek, error);
        if (error == Asio::error::would_block) {
            return std::move(connection.stream);
        }
    }
    return nullptr;
}

void HttpClient::State::returnToPool(const HttpAddress &address, SharedStream stream, Duration keepAliveTime)
{
    std::vector<PooledConnection> &connections = this->pool[address];
    if (connections.size() < maxIdleConnectionsPerAddress) {
        stream->expires_never();
        connections.push_back({std::move(stream), monotonicNow() + keepAliveTime});
    }
}

namespace
{
HttpClientError makeError(SendPhase phase, const boost::system::error_code &error)
{
    if (error == Beast::error::timeout) {
        return {phase, HttpFailure::Timeout, "timed out"};
    }
    if (error == Http::error::end_of_stream || error == Http::error::partial_message
        || error.category() != Http::make_error_code(Http::error::bad_version).category()) {
        return {phase, HttpFailure::ConnectionLost, error.message()};
    }
    return {phase, HttpFailure::MalformedResponse, error.message()};
}

class PooledResponseStream : public HttpResponseStream
{
public:
    PooledResponseStream(std::shared_ptr<HttpClient::State> state,
                         HttpAddress address,
                         Duration idleTimeout,
                         std::size_t maxBodyBytes,
                         SharedStream stream,
                         std::shared_ptr<OutgoingRequest> request,
                         std::shared_ptr<HttpCallCanceller> canceller)
        : state(std::move(state))
        , address(std::move(address))
        , idleTimeout(idleTimeout)
        , maxBodyBytes(maxBodyBytes)
        , stream(std::move(stream))
        , request(std::move(request))
        , canceller(std::move(canceller))
    {
        this->startParser();
    }

    ~PooledResponseStream() override
    {
        // If the request is not completely written, the write operation still holds a reference to the connection.
        if (this->stream) {
            this->stream->close();
        }
    }

    // Discards the body of a response to an earlier request and resets the parser for the next response.
    Asio::awaitable<boost::system::error_code> skipResponse()
    {
        boost::system::error_code error;
        std::size_t skippedBytes = 0;
        while (!this->parser->is_done() && !error) {
            this->parser->get().body().data = this->bytes.data();
            this->parser->get().body().size = this->bytes.size();
            co_await Http::async_read_some(*this->stream, this->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
            if (error == Http::error::need_buffer) {
                error = {};
            }
            skippedBytes += this->bytes.size() - this->parser->get().body().size;
            if (!error && skippedBytes > maxSkippedBytes) {
                error = Http::error::body_limit;
            }
        }
        if (!error && !this->parser->keep_alive()) {
            error = Http::error::end_of_stream;
        }
        this->head.clear();
        this->startParser();
        co_return error;
    }

    Asio::awaitable<boost::system::error_code> readHeader()
    {
        boost::system::error_code error;
        for (int interim = 0;; ++interim) {
            error = co_await this->parseHead();
            if (!error) {
                error = checkResponseHead(this->parser->get());
            }
            if (error) {
                co_return error;
            }
            if (!isInterimStatus(this->parser->get().result_int())) {
                break;
            }
            if (interim == maxInterimResponses) {
                co_return Http::make_error_code(Http::error::bad_status);
            }
            this->startParser();
        }
        for (const auto &field : this->parser->get()) {
            this->head.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        co_return error;
    }

    int status() const override
    {
        return static_cast<int>(this->parser->get().result_int());
    }

    const HttpHeaders &headers() const override
    {
        return this->head;
    }

    Asio::awaitable<HttpOutcome<std::string>> readSome() override
    {
        while (!this->parser->is_done()) {
            this->parser->get().body().data = this->bytes.data();
            this->parser->get().body().size = this->bytes.size();
            boost::system::error_code error;
            this->stream->expires_after(this->idleTimeout);
            co_await Http::async_read_some(*this->stream, this->buffer, *this->parser, Asio::redirect_error(Asio::use_awaitable, error));
            if (!error && this->parser->is_done() && !this->isFramed()) {
                error = co_await findConnectionError(*this->request, *this->stream);
            }
            if (error && error != Http::error::need_buffer) {
                this->stream->close();
                this->stream.reset();
                co_return makeError(SendPhase::Sent, error);
            }
            const std::size_t received = this->bytes.size() - this->parser->get().body().size;
            this->receivedBytes += received;
            if (this->receivedBytes > this->maxBodyBytes) {
                this->stream->close();
                this->stream.reset();
                co_return HttpClientError {
                    SendPhase::Sent, HttpFailure::MalformedResponse, "the response body exceeds " + std::to_string(this->maxBodyBytes) + " bytes"};
            }
            if (received > 0) {
                co_return std::string(this->bytes.data(), received);
            }
        }
        if (this->stream && this->parser->keep_alive() && this->buffer.size() == 0 && this->request->isWritten()) {
            // The connection is reused by other calls, which the canceller of this call must not cancel.
            if (this->canceller) {
                this->canceller->detach();
            }
            this->state->returnToPool(this->address, std::move(this->stream), this->keepAliveTime());
        }
        co_return std::string {};
    }

    bool isFramed() const override
    {
        return this->parser->chunked() || this->parser->content_length();
    }

    void setIdleTimeout(Duration timeout) override
    {
        this->idleTimeout = timeout;
    }

private:
    void startParser()
    {
        this->parser.emplace();
        this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    // Reads until the parser has the whole head. The parser joins folded lines, so they are searched before it gets the bytes.
    Asio::awaitable<boost::system::error_code> parseHead()
    {
        boost::system::error_code error;
        while (true) {
            const Asio::const_buffer received = this->buffer.data();
            if (hasFoldedLine({static_cast<const char *>(received.data()), received.size()})) {
                co_return Http::make_error_code(Http::error::bad_obs_fold);
            }
            this->buffer.consume(this->parser->put(received, error));
            if (error != Http::error::need_more) {
                co_return error;
            }
            const std::size_t room = Beast::read_size(this->buffer, readBufferBytes);
            if (room == 0) {
                co_return Http::make_error_code(Http::error::buffer_overflow);
            }
            this->buffer.commit(co_await this->stream->async_read_some(this->buffer.prepare(room), Asio::redirect_error(Asio::use_awaitable, error)));
            if (error == Asio::error::eof) {
                co_return Http::make_error_code(this->parser->got_some() ? Http::error::partial_message : Http::error::end_of_stream);
            }
            if (error) {
                co_return error;
            }
        }
    }

    // Time that the connection may stay in the pool, derived from the Keep-Alive header of the response.
    Duration keepAliveTime() const
    {
        static constexpr std::string_view parameter = "timeout=";
        const std::string text = headerValue(this->head, "Keep-Alive");
        const std::size_t position = text.find(parameter);
        long seconds = 0;
        if (position == std::string::npos) {
            return maxPooledIdleTime;
        }
        const char *begin = text.data() + position + parameter.size();
        if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc {}) {
            return maxPooledIdleTime;
        }
        return std::clamp<Duration>(std::chrono::seconds(seconds) - keepAliveMargin, Duration::zero(), maxPooledIdleTime);
    }

    std::shared_ptr<HttpClient::State> state;
    HttpAddress address;
    Duration idleTimeout;
    std::size_t maxBodyBytes;
    std::size_t receivedBytes = 0;
    SharedStream stream;
    std::shared_ptr<OutgoingRequest> request;
    std::shared_ptr<HttpCallCanceller> canceller;
    // The parser consumes a chunk header or a trailer only once it is complete, so its length is limited by the buffer alone.
    Beast::flat_buffer buffer {maxBufferedBytes};
    std::optional<Http::response_parser<Http::buffer_body>> parser;
    HttpHeaders head;
    std::array<char, readBufferBytes> bytes;
};

void setSocketOptions(Tcp::socket &socket, Duration tcpUserTimeout)
{
    // Errors are ignored: without one of the options, dead connections are only detected later.
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    if (tcpUserTimeout > Duration::zero()) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(tcpUserTimeout).count();
        socket.set_option(UserTimeout(static_cast<int>(milliseconds)), ignored);
        socket.set_option(Asio::socket_base::keep_alive(true), ignored);
        socket.set_option(KeepAliveIdle(keepAliveIdleSeconds), ignored);
        socket.set_option(KeepAliveInterval(keepAliveIntervalSeconds), ignored);
        socket.set_option(KeepAliveCount(keepAliveProbes), ignored);
    }
}
} // namespace

void HttpCallCanceller::cancel()
{
    this->cancelled = true;
    if (this->closeConnection) {
        this->closeConnection();
    }
}

void HttpCallCanceller::detach()
{
    this->closeConnection = nullptr;
}

bool HttpCallCanceller::isCancelled() const
{
    return this->cancelled;
}

HttpClient::HttpClient(Asio::io_context &context) : state(std::make_shared<State>(context))
{
}

HttpClient::~HttpClient() = default;

Asio::awaitable<HttpOutcome<std::unique_ptr<HttpResponseStream>>> HttpClient::open(HttpAddress address, HttpRequest request, HttpCallOptions options)
{
    auto state = this->state;
    boost::system::error_code error;
    SharedStream stream;
    if (options.reuse == ConnectionReuse::Allowed) {
        stream = state->takePooled(address);
    }
    const bool isNew = !stream;
    if (isNew) {
        stream = std::make_shared<Beast::tcp_stream>(state->context);
    }
    if (options.canceller) {
        options.canceller->closeConnection = [weak = std::weak_ptr(stream)] {
            if (const SharedStream open = weak.lock()) {
                open->close();
            }
        };
    }
    if (isNew) {
        stream->expires_after(options.connectTimeout);
        const auto ip = Asio::ip::make_address(address.host, error);
        if (error) {
            co_return HttpClientError {SendPhase::NotSent, HttpFailure::Connect, "'" + address.host + "' is not an IP address"};
        }
        co_await stream->async_connect(Tcp::endpoint(ip, address.port), Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return HttpClientError {SendPhase::NotSent, HttpFailure::Connect, toText(address) + ": " + error.message()};
        }
        setSocketOptions(stream->socket(), options.tcpUserTimeout);
    }
    if (options.canceller && options.canceller->isCancelled()) {
        co_return HttpClientError {SendPhase::NotSent, HttpFailure::ConnectionLost, "cancelled"};
    }

    std::shared_ptr<const std::string> body = options.sharedBody ? std::move(options.sharedBody) : std::make_shared<const std::string>(std::move(request.body));
    auto outgoing = std::make_shared<OutgoingRequest>(address, request, std::move(body), *stream);
    stream->expires_after(options.responseTimeout);
    if (options.mayWrite && !options.mayWrite()) {
        co_return HttpClientError {SendPhase::NotSent, HttpFailure::Withheld, "the request was withheld before its first byte was sent"};
    }
    // The response is read while the request is still being sent, since the peer may respond before it has read a long body.
    startWriting(outgoing, stream);
    auto response =
        std::make_unique<PooledResponseStream>(state, address, options.idleTimeout, options.maxBodyBytes, std::move(stream), outgoing, options.canceller);
    error = co_await response->readHeader();
    const ConnectionAge age = isNew ? ConnectionAge::New : ConnectionAge::Reused;
    for (int skipped = 0; !error && options.isMatchingResponse && !options.isMatchingResponse(response->headers(), age); ++skipped) {
        if (skipped == maxSkippedResponses) {
            co_return HttpClientError {SendPhase::Sent, HttpFailure::MalformedResponse, "the responses on this connection belong to other requests"};
        }
        error = co_await response->skipResponse();
        if (!error) {
            error = co_await response->readHeader();
        }
    }
    if (error) {
        co_return makeError(SendPhase::Sent, error);
    }
    co_return std::unique_ptr<HttpResponseStream>(std::move(response));
}

Asio::awaitable<HttpOutcome<HttpResponse>> HttpClient::call(HttpAddress address, HttpRequest request, HttpCallOptions options)
{
    CO_TRY(stream, co_await this->open(std::move(address), std::move(request), options));
    HttpResponse response;
    response.status = stream->status();
    response.headers = stream->headers();
    const MonotonicTime deadline = monotonicNow() + options.bodyTimeout;
    while (true) {
        stream->setIdleTimeout(std::min(options.idleTimeout, std::max(Duration::zero(), deadline - monotonicNow())));
        CO_TRY(bytes, co_await stream->readSome());
        if (bytes.empty()) {
            co_return response;
        }
        response.body += bytes;
    }
}

} // namespace Godwitfork
