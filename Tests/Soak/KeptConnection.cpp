#include "KeptConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr Duration connectLimit = std::chrono::seconds(1);
/// Of a client that reads slowly, in bytes.
constexpr int smallReceiveBuffer = 8 * 1024;
constexpr std::uint64_t maxAnswerBytes = 1024 * 1024 * 1024;
} // namespace

KeptConnection::KeptConnection(Asio::io_context &context) : stream(context)
{
}

Asio::awaitable<bool> KeptConnection::connect(HttpAddress address)
{
    boost::system::error_code error;
    this->stream.expires_after(connectLimit);
    const Tcp::endpoint endpoint(Asio::ip::make_address(address.host), address.port);
    co_await this->stream.async_connect(endpoint, Asio::redirect_error(Asio::use_awaitable, error));
    this->open = !error;
    if (this->open) {
        this->stream.socket().set_option(Tcp::no_delay(true), error);
    }
    co_return this->open;
}

Asio::awaitable<bool> KeptConnection::rest(Duration duration)
{
    boost::system::error_code error;
    auto isOver = std::make_shared<bool>(false);
    Asio::steady_timer timer(this->stream.get_executor(), duration);
    timer.async_wait([this, isOver](const boost::system::error_code &) {
        if (!*isOver) {
            boost::system::error_code ignored;
            this->stream.socket().cancel(ignored);
        }
    });
    // Bytes or an end without a request both mean that the connection can't be used any more.
    co_await this->stream.socket().async_wait(Tcp::socket::wait_read, Asio::redirect_error(Asio::use_awaitable, error));
    *isOver = true;
    this->open = this->open && error == Asio::error::operation_aborted;
    co_return this->open;
}

Asio::awaitable<bool> KeptConnection::send(std::string bytes)
{
    boost::system::error_code error;
    co_await Asio::async_write(this->stream, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
    co_return !error;
}

Asio::awaitable<bool> KeptConnection::exchange(std::string request, MonotonicTime until, ClientManners manners, RequestRecord &record)
{
    record.isKept = this->isUsed;
    this->isUsed = true;
    this->stream.expires_at(until);
    bool isSent = true;
    boost::system::error_code error;
    if (manners.readPause > Duration::zero()) {
        this->stream.socket().set_option(Asio::socket_base::receive_buffer_size(smallReceiveBuffer), error);
    }
    if (manners.sendPause > Duration::zero()) {
        std::string firstHalf = request.substr(0, request.size() / 2);
        isSent = co_await this->send(std::move(firstHalf));
        Asio::steady_timer timer(this->stream.get_executor(), manners.sendPause);
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
        request = request.substr(request.size() / 2);
    }
    if (isSent) {
        isSent = co_await this->send(std::move(request));
    }
    record.sent = monotonicNow();
    if (!isSent) {
        this->open = false;
        co_return false;
    }
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    while (!parser.is_done() && !error) {
        record.receivedBytes += co_await Http::async_read_some(this->stream, this->buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (manners.readPause > Duration::zero() && !error) {
            Asio::steady_timer timer(this->stream.get_executor(), manners.readPause);
            boost::system::error_code ignored;
            co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        }
    }
    record.ended = monotonicNow();
    if (error) {
        record.notes.push_back(error.message());
    }
    record.end = !error                                                                ? AnswerEnd::Complete
        : error == Beast::error::timeout                                               ? AnswerEnd::GivenUp
        : error == Http::error::end_of_stream || error == Http::error::partial_message ? AnswerEnd::Closed
                                                                                       : AnswerEnd::Reset;
    this->answerStatus = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    this->open = !error && parser.keep_alive();
    this->answerBody = parser.is_header_done() ? std::move(parser.get().body()) : std::string();
    co_return true;
}

bool KeptConnection::isOpen() const
{
    return this->open;
}

int KeptConnection::status() const
{
    return this->answerStatus;
}

const std::string &KeptConnection::body() const
{
    return this->answerBody;
}

} // namespace Godwitfork
