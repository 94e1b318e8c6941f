#include "EntryFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
/// More than the buffers of both ends of a connection hold, so that the router is still writing when the answer arrives.
constexpr std::size_t uploadBytes = std::size_t {8} * 1024 * 1024;
/// A caller whose request has a deadline of 3 s gets an answer that is ready within this time, on a busy machine too.
constexpr Duration promptTime = 1s;

/// How an endpoint ends its connection after an early answer without a length.
enum class Ending {
    Reset,
    ResetAfter10Ms,
    ResetAfter100Ms,
    /// The kernel resets a connection that is closed with unread bytes.
    CloseUnread,
    /// Closes its side, and then reads the rest of the upload.
    HalfCloseAndRead,
    /// Closes its side, and reads nothing until the router closes the connection.
    HalfCloseAndWait,
    /// Closes its side, and resets the connection before the router has read anything of both.
    HalfCloseAndReset,
};

const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Response-Signature: signed\r\n";
const std::string part = "id: 1\ndata: a\n\n";
const std::string whole = part + "id: 2\ndata: b\n\n";

Asio::awaitable<void> pause(Tcp::socket &socket, Duration time)
{
    Asio::steady_timer timer(socket.get_executor(), time);
    co_await timer.async_wait(Asio::use_awaitable);
}

/// Reads until the router closes the connection, or `atMost` bytes.
Asio::awaitable<void> discard(Tcp::socket &socket, std::size_t atMost)
{
    std::vector<char> block(std::size_t {64} * 1024);
    boost::system::error_code error;
    for (std::size_t received = 0; !error && received < atMost;) {
        received += co_await socket.async_read_some(Asio::buffer(block), Asio::redirect_error(Asio::use_awaitable, error));
    }
}

Asio::awaitable<void> end(Tcp::socket &socket, Ending ending)
{
    switch (ending) {
    case Ending::ResetAfter10Ms:
        co_await pause(socket, 10ms);
        break;
    case Ending::ResetAfter100Ms:
        co_await pause(socket, 100ms);
        break;
    case Ending::CloseUnread:
        co_await socket.async_wait(Tcp::socket::wait_read, Asio::use_awaitable);
        socket.close();
        co_return;
    case Ending::HalfCloseAndRead:
        socket.shutdown(Tcp::socket::shutdown_send);
        co_await discard(socket, uploadBytes);
        co_return;
    case Ending::HalfCloseAndWait:
        socket.shutdown(Tcp::socket::shutdown_send);
        co_await pause(socket, 2 * promptTime);
        co_return;
    case Ending::HalfCloseAndReset:
        socket.shutdown(Tcp::socket::shutdown_send);
        break;
    case Ending::Reset:
        break;
    }
    socket.set_option(Asio::socket_base::linger(true, 0));
    socket.close();
}

struct Delivery {
    std::string received;
    int runs = 0;
    Duration elapsed = Duration::zero();
};

/// Sends a long upload to a router; its first attempt gets `answer` at once and `ending`, a further one a sound answer after the upload.
Delivery deliver(const std::string &answer, Ending ending, RepeatRule rule)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = uploadBytes;
    EntryFixture entry(limits);
    entry.setRoute(makeRoute(rule, 3));
    Delivery delivery;
    const auto script = [&](Tcp::socket &socket) -> Asio::awaitable<void> {
        const bool isFirst = ++delivery.runs == 1;
        std::string request;
        const std::size_t length = co_await Asio::async_read_until(socket, Asio::dynamic_buffer(request), "\r\n\r\n", Asio::use_awaitable);
        if (isFirst) {
            co_await Asio::async_write(socket, Asio::buffer(answer), Asio::use_awaitable);
            co_await end(socket, ending);
            co_return;
        }
        co_await discard(socket, uploadBytes - (request.size() - length));
        const std::string sound = head + "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole;
        co_await Asio::async_write(socket, Asio::buffer(sound), Asio::use_awaitable);
    };
    entry.addRawEndpoint("e1", script);
    entry.addRawEndpoint("e2", script);
    const MonotonicTime started = monotonicNow();
    delivery.received = entry.sendRaw(callerHeaders("id1"), 0ms, std::string(uploadBytes, 'x'));
    delivery.elapsed = monotonicNow() - started;
    return delivery;
}

const std::string lastChunk = "0\r\n\r\n";
} // namespace

TEST_CASE("An early answer without a length that is reset during the upload never looks whole", "[early]")
{
    // Guards against callers that get a part of an answer as all of it: the write of the request took the error of the reset, and the end of the
    // connection that was read after it passed for the end of the body.
    const Ending ending = GENERATE(Ending::Reset, Ending::ResetAfter10Ms, Ending::ResetAfter100Ms, Ending::CloseUnread);
    const std::string version = GENERATE(as<std::string>(), "HTTP/1.1", "HTTP/1.0");
    const RepeatRule rule = GENERATE(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream);
    CAPTURE(static_cast<int>(ending), version, static_cast<int>(rule));
    const Delivery delivery = deliver(version + head.substr(version.size()) + "\r\n" + part, ending, rule);
    switch (rule) {
    case RepeatRule::Idempotent:
        CHECK(delivery.runs == 2);
        CHECK(bodyOf(delivery.received) == whole);
        break;
    case RepeatRule::NonIdempotent:
        CHECK(delivery.runs == 1);
        CHECK(delivery.received.starts_with("HTTP/1.1 502 "));
        CHECK(delivery.received.find(part) == std::string::npos);
        break;
    case RepeatRule::Stream:
        // The event has reached the caller, or none of the answer has.
        CHECK(delivery.runs == 1);
        CHECK((delivery.received.starts_with("HTTP/1.1 502 ") || bodyOf(delivery.received) == chunk(part)));
        break;
    case RepeatRule::ResumableStream:
        CHECK(delivery.runs == 2);
        CHECK(delivery.received.ends_with(lastChunk));
        CHECK(delivery.received.find("id: 2\n") != std::string::npos);
        break;
    }
}

TEST_CASE("An early answer without a length that its endpoint ends in order is delivered at once", "[early]")
{
    // Guards against a check that refuses each answer that ends before the upload, or that waits for the upload. An endpoint that has closed its side
    // may stop reading, or close the connection once its answer has arrived.
    const Ending ending = GENERATE(Ending::HalfCloseAndRead, Ending::HalfCloseAndWait, Ending::HalfCloseAndReset);
    const RepeatRule rule = GENERATE(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream);
    CAPTURE(static_cast<int>(ending), static_cast<int>(rule));
    const Delivery delivery = deliver(head + "\r\n" + whole, ending, rule);
    CHECK(delivery.runs == 1);
    CHECK(delivery.received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(bodyOf(delivery.received) == (isStream(rule) ? chunk(whole) + lastChunk : whole));
    CHECK(delivery.elapsed < promptTime);
}

TEST_CASE("An early answer whose end is marked is delivered, however its connection ends", "[early]")
{
    const Ending ending = GENERATE(Ending::ResetAfter100Ms, Ending::HalfCloseAndRead, Ending::HalfCloseAndWait);
    const std::string framed = GENERATE(as<std::string>(),
                                        "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + whole,
                                        "Transfer-Encoding: chunked\r\n\r\n" + chunk(whole) + lastChunk);
    const RepeatRule rule = GENERATE(RepeatRule::NonIdempotent, RepeatRule::Stream);
    CAPTURE(static_cast<int>(ending), framed, static_cast<int>(rule));
    const Delivery delivery = deliver(head + framed, ending, rule);
    CHECK(delivery.runs == 1);
    CHECK(delivery.received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(bodyOf(delivery.received) == (isStream(rule) ? chunk(whole) + lastChunk : whole));
    CHECK(delivery.elapsed < promptTime);
}
