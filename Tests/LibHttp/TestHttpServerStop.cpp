#include "LibHttp/HttpServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <memory>
#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

HttpResponse formatError(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

/// Client whose writes reach the server's socket without the server's event loop running.
class RawClient
{
public:
    explicit RawClient(const HttpAddress &address) : socket(this->context)
    {
        this->socket.connect({Asio::ip::make_address(address.host), address.port});
    }

    void send(const std::string &bytes)
    {
        Asio::write(this->socket, Asio::buffer(bytes));
        this->socket.non_blocking(true);
    }

    /// Reads what has arrived; sets `isClosed` at the end of the connection.
    void receive()
    {
        this->socket.non_blocking(true);
        char bytes[4096];
        boost::system::error_code error;
        while (!error) {
            const std::size_t length = this->socket.read_some(Asio::buffer(bytes), error);
            this->received.append(bytes, length);
        }
        this->isClosed = this->isClosed || error != Asio::error::would_block;
        this->isReset = this->isReset || error == Asio::error::connection_reset;
    }

    std::string received;
    bool isClosed = false;
    bool isReset = false;

private:
    Asio::io_context context;
    Tcp::socket socket;
};

/// A server whose event loop runs only when the test says so. `GET /held` streams one chunk and ends once `isReleased` is set.
class StoppableServer
{
public:
    explicit StoppableServer(HttpServerLimits limits = {})
        : server(
            this->context,
            {"127.0.0.1", 0},
            limits,
            [this](HttpExchange &exchange) { return this->serve(exchange); },
            formatError)
    {
        this->server.start();
        this->context.poll();
    }

    /// Runs the event loop until the client has `answers` answers, its connection is closed or the time is over.
    void runUntil(RawClient &client, std::size_t answers, Duration limit = 2s)
    {
        const MonotonicTime end = monotonicNow() + limit;
        while (!client.isClosed && count(client.received, "HTTP/1.1 ") < answers && monotonicNow() < end) {
            this->runFor(5ms);
            client.receive();
        }
    }

    std::size_t runFor(Duration time)
    {
        this->context.restart();
        return this->context.run_for(time);
    }

    Asio::io_context context {1};
    bool isReleased = false;
    HttpServer server;

private:
    Asio::awaitable<void> serve(HttpExchange &exchange)
    {
        if (exchange.request().target != "/held") {
            co_await exchange.respond(jsonResponse(200, "answer"));
            co_return;
        }
        co_await exchange.startStream(200, HttpHeaders());
        co_await exchange.writeChunk("part");
        Asio::steady_timer timer(co_await Asio::this_coro::executor);
        while (!this->isReleased) {
            timer.expires_after(1ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
        co_await exchange.finishStream();
    }
};
} // namespace

// Guards against LOST: connections whose requests waited in the listener's queue were reset when the server stopped.
TEST_CASE("Requests that wait in the listener's queue when the server stops are answered", "[stop]")
{
    StoppableServer server;
    std::vector<std::unique_ptr<RawClient>> clients;
    constexpr int queued = 20;
    for (int i = 0; i < queued; ++i) {
        clients.push_back(std::make_unique<RawClient>(server.server.address()));
        clients.back()->send(request);
    }
    server.server.stop();
    for (const auto &client : clients) {
        server.runUntil(*client, 1);
        CHECK(count(client->received, "HTTP/1.1 200") == 1);
        CHECK(count(client->received, "Connection: close") == 1);
    }
}

// Guards against LOST: a connection that was accepted in the turn of the event loop in which the server stopped was dropped.
TEST_CASE("A connection that is being accepted when the server stops is answered", "[stop]")
{
    const int turns = GENERATE(range(0, 8));
    StoppableServer server;
    RawClient client(server.server.address());
    client.send(request);
    server.context.restart();
    for (int i = 0; i < turns; ++i) {
        server.context.poll_one();
    }
    server.server.stop();
    server.runUntil(client, 1);
    CHECK(count(client.received, "HTTP/1.1 200") == 1);
}

// Guards against LOST: a kept connection was closed without a look at the request that had arrived on it.
TEST_CASE("A request that has arrived unread on a kept connection when the server stops is answered", "[stop]")
{
    StoppableServer server;
    RawClient client(server.server.address());
    client.send(request);
    server.runUntil(client, 1);
    client.send(request);
    server.server.stop();
    server.runUntil(client, 2);
    CHECK(count(client.received, "HTTP/1.1 200") == 2);
    CHECK(count(client.received, "Connection: close") == 1);
}

// Guards against LOST: the next request after a stream that had begun without `Connection: close` was read and discarded.
TEST_CASE("The request after a stream that began before the stop and ends after it is answered", "[stop]")
{
    const bool isSentBeforeEnd = GENERATE(true, false);
    StoppableServer server;
    RawClient client(server.server.address());
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    server.runUntil(client, 1);
    server.server.stop();
    if (isSentBeforeEnd) {
        client.send(request);
    }
    server.isReleased = true;
    while (client.received.find("\r\n0\r\n\r\n") == std::string::npos && !client.isClosed) {
        server.runFor(1ms);
        client.receive();
    }
    if (!isSentBeforeEnd && !client.isClosed) {
        client.send(request);
    }
    server.runUntil(client, 2);
    CHECK(count(client.received, "HTTP/1.1 200") == 2);
    CHECK(count(client.received, "Connection: close") == 1);
}

// Guards against LOST: what arrived after the drain had closed idle connections was reset, though the listener could have stayed open.
TEST_CASE("A draining server closes connections without a request and answers new ones with Connection: close", "[stop]")
{
    StoppableServer server;
    RawClient kept(server.server.address());
    kept.send(request);
    server.runUntil(kept, 1);
    server.runFor(600ms);
    RawClient silent(server.server.address());
    server.server.drain();
    server.runFor(10ms);
    kept.receive();
    CHECK(kept.isClosed);
    CHECK_FALSE(kept.isReset);
    RawClient late(server.server.address());
    server.runFor(200ms);
    late.send(request);
    server.runUntil(late, 1);
    CHECK(count(late.received, "HTTP/1.1 200") == 1);
    CHECK(count(late.received, "Connection: close") == 1);
    server.runFor(1s);
    silent.receive();
    CHECK(silent.isClosed);
    CHECK(server.server.openConnections() == 0);
}

// Guards against a connection that is closed for idleness together with a request that a late process has not read yet.
TEST_CASE("A request that has arrived before the end of the idle time is answered by a server that reads it later", "[stop]")
{
    HttpServerLimits limits;
    limits.idleTimeout = 50ms;
    StoppableServer server(limits);
    RawClient client(server.server.address());
    client.send(request);
    server.runUntil(client, 1);
    client.send(request);
    const MonotonicTime end = monotonicNow() + 100ms;
    while (monotonicNow() < end) { }
    server.runUntil(client, 2);
    CHECK(count(client.received, "HTTP/1.1 200") == 2);
}

// Guards against LOST: a connection beyond the limit was closed without an answer.
TEST_CASE("A request on a connection beyond the limit is refused with 503", "[stop]")
{
    HttpServerLimits limits;
    limits.maxConnections = 2;
    StoppableServer server(limits);
    RawClient first(server.server.address());
    RawClient second(server.server.address());
    server.runFor(20ms);
    RawClient beyond(server.server.address());
    beyond.send(request);
    server.runUntil(beyond, 1);
    CHECK(count(beyond.received, "HTTP/1.1 503") == 1);
    CHECK(count(beyond.received, "Connection: close") == 1);
    first.send(request);
    server.runUntil(first, 1);
    CHECK(count(first.received, "HTTP/1.1 200") == 1);
}

// Guards against an event loop that does nothing but fail to accept while no descriptor is free.
TEST_CASE("A server without a free descriptor waits between two accepts and takes the connection later", "[stop]")
{
    StoppableServer server;
    RawClient client(server.server.address());
    client.send(request);
    rlimit usual {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit none {0, usual.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    const std::size_t handlers = server.runFor(200ms);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &usual) == 0);
    CHECK(handlers < 100);
    server.runUntil(client, 1);
    CHECK(count(client.received, "HTTP/1.1 200") == 1);
}
