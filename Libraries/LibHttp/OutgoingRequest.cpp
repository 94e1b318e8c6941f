#include "LibHttp/OutgoingRequest.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace
{
Http::request<Http::span_body<const char>> makeMessage(const HttpAddress &address, const HttpRequest &request, const std::string &body)
{
    Http::request<Http::span_body<const char>> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (const HttpHeader &header : request.headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(Http::field::host) == message.end()) {
        message.set(Http::field::host, toText(address));
    }
    message.body() = Beast::span<const char>(body.data(), body.size());
    message.prepare_payload();
    return message;
}

/// Whether a write failed because this process has closed the connection.
bool isOwnClose(const boost::system::error_code &error)
{
    return error == Asio::error::operation_aborted || error == Asio::error::bad_descriptor;
}
} // namespace

OutgoingRequest::OutgoingRequest(const HttpAddress &address, const HttpRequest &request, std::shared_ptr<const std::string> body, Beast::tcp_stream &stream)
    : message(makeMessage(address, request, *body)), body(std::move(body)), writeEnded(stream.get_executor(), Asio::steady_timer::time_point::max())
{
}

bool OutgoingRequest::isWritten() const
{
    return this->writeResult && !*this->writeResult;
}

void startWriting(std::shared_ptr<OutgoingRequest> request, std::shared_ptr<Beast::tcp_stream> stream)
{
    Http::async_write(*stream, request->message, [stream, request](const boost::system::error_code &error, std::size_t) {
        request->writeResult = error;
        request->body.reset();
        request->writeEnded.cancel();
    });
}

// The kernel reports the error of a connection once, to the first call on it. If that is a write, the next read returns a plain end of the stream, as if
// the peer had closed its side. So the end of the stream is in order only if no write has taken an error.
Asio::awaitable<boost::system::error_code> findConnectionError(OutgoingRequest &request, Beast::tcp_stream &stream)
{
    if (!request.writeResult) {
        // A write that has taken an error reports it even if its handler has not run yet; one that has not is aborted.
        stream.close();
        boost::system::error_code ignored;
        co_await request.writeEnded.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    const boost::system::error_code error = *request.writeResult;
    // A reset is reported as a broken pipe if the peer had ended its side before: its answer has arrived to the end, and only the request is lost.
    if (isOwnClose(error) || error == Asio::error::broken_pipe) {
        co_return boost::system::error_code();
    }
    co_return error;
}

} // namespace Godwitfork
