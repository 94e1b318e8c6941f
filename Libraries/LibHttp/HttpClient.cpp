#include "LibHttp/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
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
constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t maxIdleConnectionsPerAddress = 256;
/// Below the server's idle limit of 75 s, so that a pooled connection is not one that the server is about to close.
constexpr Duration maxIdleAge = std::chrono::seconds(20);

struct IdleConnection {
    std::unique_ptr<Beast::tcp_stream> stream;
    MonotonicTime since;
};
} // namespace

struct HttpClient::State {
    explicit State(Asio::io_context &context) : context(context)
    {
    }

    std::unique_ptr<Beast::tcp_stream> takeIdle(const HttpAddress &address);
    void giveBack(const HttpAddress &address, std::unique_ptr<Beast::tcp_stream> stream);

    Asio::io_context &context;
    std::map<HttpAddress, std::vector<IdleConnection>> idle;
};

std::unique_ptr<Beast::tcp_stream> HttpClient::State::takeIdle(const HttpAddress &address)
{
    std::vector<IdleConnection> &connections = this->idle[address];
    while (!connections.empty()) {
        IdleConnection connection = std::move(connections.back());
        connections.pop_back();
        if (monotonicNow() - connection.since > maxIdleAge) {
            continue;
        }
        // A readable idle connection was closed by its peer or holds bytes that belong to no request.
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

void HttpClient::State::giveBack(const HttpAddress &address, std::unique_ptr<Beast::tcp_stream> stream)
{
    std::vector<IdleConnection> &connections = this->idle[address];
    if (connections.size() < maxIdleConnectionsPerAddress) {
        stream->expires_never();
        connections.push_back({std::move(stream), monotonicNow()});
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
    return {phase, HttpFailure::MalformedAnswer, error.message()};
}

class PooledResponseStream : public HttpResponseStream
{
public:
    PooledResponseStream(std::shared_ptr<HttpClient::State> state, HttpAddress address, Duration idleTimeout, std::unique_ptr<Beast::tcp_stream> stream)
        : state(std::move(state)), address(std::move(address)), idleTimeout(idleTimeout), stream(std::move(stream))
    {
        this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    Asio::awaitable<boost::system::error_code> readHead()
    {
        boost::system::error_code error;
        co_await Http::async_read_header(*this->stream, this->buffer, this->parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
        for (const auto &field : this->parser.get()) {
            this->head.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        co_return error;
    }

    int status() const override
    {
        return static_cast<int>(this->parser.get().result_int());
    }

    const HttpHeaders &headers() const override
    {
        return this->head;
    }

    Asio::awaitable<HttpOutcome<std::string>> readSome() override
    {
        while (!this->parser.is_done()) {
            this->parser.get().body().data = this->bytes.data();
            this->parser.get().body().size = this->bytes.size();
            boost::system::error_code error;
            this->stream->expires_after(this->idleTimeout);
            co_await Http::async_read_some(*this->stream, this->buffer, this->parser, Asio::redirect_error(Asio::use_awaitable, error));
            if (error && error != Http::error::need_buffer) {
                this->stream.reset();
                co_return makeError(SendPhase::Sent, error);
            }
            const std::size_t received = this->bytes.size() - this->parser.get().body().size;
            if (received > 0) {
                co_return std::string(this->bytes.data(), received);
            }
        }
        if (this->stream && this->parser.keep_alive() && this->buffer.size() == 0) {
            this->state->giveBack(this->address, std::move(this->stream));
        }
        co_return std::string {};
    }

private:
    std::shared_ptr<HttpClient::State> state;
    HttpAddress address;
    Duration idleTimeout;
    std::unique_ptr<Beast::tcp_stream> stream;
    Beast::flat_buffer buffer;
    Http::response_parser<Http::buffer_body> parser;
    HttpHeaders head;
    std::array<char, readBufferBytes> bytes;
};

Http::request<Http::string_body> makeMessage(const HttpAddress &address, HttpRequest request)
{
    Http::request<Http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(Http::field::host, toText(address));
    for (const HttpHeader &header : request.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}
} // namespace

HttpClient::HttpClient(Asio::io_context &context) : state(std::make_shared<State>(context))
{
}

HttpClient::~HttpClient() = default;

Asio::awaitable<HttpOutcome<std::unique_ptr<HttpResponseStream>>> HttpClient::open(HttpAddress address, HttpRequest request, HttpCallOptions options)
{
    auto state = this->state;
    boost::system::error_code error;
    std::unique_ptr<Beast::tcp_stream> stream;
    if (options.reuse == ConnectionReuse::Allowed) {
        stream = state->takeIdle(address);
    }
    if (!stream) {
        stream = std::make_unique<Beast::tcp_stream>(state->context);
        stream->expires_after(options.connectTimeout);
        const auto ip = Asio::ip::make_address(address.host, error);
        if (error) {
            co_return HttpClientError {SendPhase::NotSent, HttpFailure::Connect, "'" + address.host + "' is not an IP address"};
        }
        co_await stream->async_connect(Tcp::endpoint(ip, address.port), Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return HttpClientError {SendPhase::NotSent, HttpFailure::Connect, toText(address) + ": " + error.message()};
        }
        stream->socket().set_option(Tcp::no_delay(true), error);
    }

    const auto message = makeMessage(address, std::move(request));
    stream->expires_after(options.answerTimeout);
    if (options.mayWrite && !options.mayWrite()) {
        co_return HttpClientError {SendPhase::NotSent, HttpFailure::Withheld, "withheld before the first byte"};
    }
    co_await Http::async_write(*stream, message, Asio::redirect_error(Asio::use_awaitable, error));
    if (error) {
        co_return makeError(SendPhase::Sent, error);
    }
    auto response = std::make_unique<PooledResponseStream>(state, address, options.idleTimeout, std::move(stream));
    error = co_await response->readHead();
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
    while (true) {
        CO_TRY(bytes, co_await stream->readSome());
        if (bytes.empty()) {
            co_return response;
        }
        response.body += bytes;
        if (response.body.size() > maxAnswerBytes) {
            co_return HttpClientError {SendPhase::Sent, HttpFailure::MalformedAnswer, "the answer passes 16 MiB"};
        }
    }
}

} // namespace Godwitfork
