#include "LibHttp/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
HttpResponse formatError(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

/// A server with an account of `capacity` bytes and raw clients in one event loop.
class LimitedServer
{
public:
    LimitedServer(HttpServerLimits limits, std::size_t capacity)
        : memory(memoryLimits(capacity))
        , server(
              this->context,
              {"127.0.0.1", 0},
              limits,
              [this](HttpExchange &exchange) { return this->serve(exchange); },
              formatError)
    {
        this->server.setMemory(this->memory);
        this->server.start();
    }

    /// Opens a connection that sends `bytes` and keeps what it gets; returns its number.
    std::size_t send(std::string bytes)
    {
        auto socket = std::make_shared<Tcp::socket>(this->context);
        this->sockets.push_back(socket);
        this->answers.push_back(std::make_shared<std::string>());
        const HttpAddress address = this->server.address();
        Asio::co_spawn(
            this->context,
            [socket, address, bytes, answer = this->answers.back()]() -> Asio::awaitable<void> {
                boost::system::error_code error;
                const Tcp::endpoint peer(Asio::ip::make_address(address.host), address.port);
                co_await socket->async_connect(peer, Asio::redirect_error(Asio::use_awaitable, error));
                co_await Asio::async_write(*socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
                error = {};
                co_await Asio::async_read(*socket, Asio::dynamic_buffer(*answer), Asio::redirect_error(Asio::use_awaitable, error));
            },
            Asio::detached);
        return this->answers.size() - 1;
    }

    void runFor(Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    /// Runs until the client has got an answer; fails after 5 s.
    std::string answer(std::size_t client)
    {
        const MonotonicTime end = monotonicNow() + 5s;
        while (this->answers[client]->find("\r\n\r\n") == std::string::npos && monotonicNow() < end) {
            this->runFor(10ms);
        }
        return *this->answers[client];
    }

    Asio::io_context context {1};
    MemoryBudget memory;
    HttpServer server;
    int served = 0;

private:
    Asio::awaitable<void> serve(HttpExchange &exchange)
    {
        ++this->served;
        if (exchange.request().target == "/slow") {
            Asio::steady_timer timer(this->context, 2s);
            co_await timer.async_wait(Asio::use_awaitable);
        }
        co_await exchange.respond(jsonResponse(200, "{}"));
    }

    std::vector<std::shared_ptr<Tcp::socket>> sockets;
    std::vector<std::shared_ptr<std::string>> answers;
};

std::string post(const std::string &target, std::size_t stated, std::size_t sent)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(stated) + "\r\n\r\n" + std::string(sent, 'b');
}

bool isStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}
} // namespace

// Guards against a client that is not told that its request was not taken.
TEST_CASE("A request that does not arrive in time is answered 408", "[limits]")
{
    HttpServerLimits limits;
    limits.requestTimeout = 200ms;
    LimitedServer server(limits, 10'000'000);
    for (const std::string &part : {post("/", 100, 99), std::string("POST / HTTP/1.1\r\nHost: h\r\n")}) {
        CHECK(isStatus(server.answer(server.send(part)), 408));
    }
    CHECK(server.served == 0);
    CHECK(server.server.counters().slowRequests == 2);
}

// Guards against a trickle of bytes that holds memory for as long as the time limit allows, and against a limit that meets others.
TEST_CASE("A request that arrives too slowly is answered 408 before its time limit", "[limits]")
{
    HttpServerLimits limits;
    limits.progress.grace = 100ms;
    limits.progress.bytesPerSecond = 100'000;
    LimitedServer server(limits, 10'000'000);
    const std::size_t slow = server.send(post("/", 200'000, 1000));
    const std::size_t fast = server.send(post("/", 200'000, 200'000));
    CHECK(isStatus(server.answer(fast), 200));
    CHECK(isStatus(server.answer(slow), 408));
    CHECK(server.served == 1);
}

// Guards against clients that stop in their bodies and keep the memory from others, and against the end of a request that runs.
TEST_CASE("A body without progress gives way to another one, and a request that runs does not", "[limits]")
{
    LimitedServer server({}, 4'000'000);
    // Of 4 MB, the large bodies of one address may hold 1.875 MB.
    const std::size_t running = server.send(post("/slow", 600'000, 600'000));
    const std::size_t stalled = server.send(post("/", 600'000, 599'999));
    const std::size_t other = server.send(post("/", 600'000, 599'000));
    server.runFor(1s);
    const std::size_t late = server.send(post("/", 600'000, 600'000));
    CHECK(isStatus(server.answer(late), 200));
    const bool isStalledRefused = isStatus(server.answer(stalled), 503);
    const std::string refusal = isStalledRefused ? server.answer(stalled) : server.answer(other);
    CHECK(isStatus(refusal, 503));
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(isStatus(server.answer(running), 200));
    CHECK(server.served == 2);
    CHECK(server.server.counters().evictedConnections >= 1);
}

// Guards against a handler that runs a request whose body was not kept.
TEST_CASE("A body that finds no room is answered 503 with Retry-After and not handled", "[limits]")
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 4'000'000;
    LimitedServer server(limits, 4'000'000);
    const std::string chunk = "186a0\r\n" + std::string(100'000, 'b') + "\r\n";
    std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 30; ++i) {
        chunked += chunk;
    }
    for (const std::string &request : {post("/", 3'000'000, 0), chunked + "0\r\n\r\n"}) {
        const std::string answer = server.answer(server.send(request));
        CHECK(isStatus(answer, 503));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
    CHECK(server.served == 0);
    CHECK(isStatus(server.answer(server.send(post("/", 100'000, 100'000))), 200));
}

// Guards against clients that take all connections and do nothing, and against one address that takes all of them at once.
TEST_CASE("Connections without a request give way to new ones, but not at once", "[limits]")
{
    HttpServerLimits limits;
    limits.maxConnections = 8;
    LimitedServer server(limits, 10'000'000);
    for (int i = 0; i < 6; ++i) {
        server.send("GET /");
    }
    server.runFor(100ms);
    CHECK(isStatus(server.answer(server.send(post("/", 0, 0))), 503));
    server.runFor(1s);
    CHECK(isStatus(server.answer(server.send(post("/", 0, 0))), 200));
    CHECK(server.server.counters().refusedConnections == 1);
    CHECK(server.server.counters().evictedConnections >= 1);
}

// Guards against bytes that are counted after their connection has ended, or are not counted at all.
TEST_CASE("What connections hold is counted while they are open and released afterwards", "[limits]")
{
    HttpServerLimits limits;
    limits.idleTimeout = 100ms;
    limits.requestTimeout = 300ms;
    LimitedServer server(limits, 10'000'000);
    server.send(post("/", 1000, 999));
    server.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nbbb");
    server.send(post("/slow", 1000, 1000));
    server.send("");
    server.runFor(50ms);
    CHECK(server.memory.held(MemoryUse::Connection) > 4 * 8192);
    CHECK(server.memory.held(MemoryUse::RequestBody) >= 2000);
    server.runFor(4s);
    CHECK(server.server.openConnections() == 0);
    CHECK(server.memory.held() == MemoryHeld {});
}
