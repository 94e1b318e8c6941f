#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
namespace Asio = boost::asio;

namespace
{
HttpResponse formatError(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

/// Runs a server and one client coroutine on the same io_context until the coroutine finishes.
void runWithServer(HttpHandler handler, HttpServerLimits limits, std::function<Asio::awaitable<void>(HttpAddress, HttpClient &)> body)
{
    Asio::io_context context;
    HttpServer server(context, {"127.0.0.1", 0}, limits, std::move(handler), formatError);
    server.start();
    HttpClient client(context);
    bool finished = false;
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> {
            co_await body(server.address(), client);
            finished = true;
            context.stop();
        },
        [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    context.run();
    CHECK(finished);
}

Asio::awaitable<void> echo(HttpExchange &exchange)
{
    co_await exchange.respond(jsonResponse(200, exchange.request().body));
}
} // namespace

TEST_CASE("A complete response and a streamed response arrive unchanged")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        if (exchange.request().target == "/stream") {
            co_await exchange.startStream(200, HttpHeaders());
            co_await exchange.writeChunk("first ");
            co_await exchange.writeChunk("second");
            co_await exchange.finishStream();
            co_return;
        }
        co_await echo(exchange);
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        for (int i = 0; i < 3; ++i) {
            const auto whole = co_await client.call(address, makeRequest("POST", "/", "body " + std::to_string(i)), HttpCallOptions());
            CHECK(whole.value().body == "body " + std::to_string(i));
            const auto streamed = co_await client.call(address, makeRequest("GET", "/stream"), HttpCallOptions());
            CHECK(streamed.value().body == "first second");
        }
    });
}

// Guards against a client that exhausts the memory with one request.
TEST_CASE("A request body over the limit is rejected with body_too_large")
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 10;
    runWithServer(echo, limits, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        const auto response = co_await client.call(address, makeRequest("POST", "/", std::string(100, 'x')), HttpCallOptions());
        CHECK(response.value().status == 413);
        CHECK(response.value().body == "body_too_large");
    });
}

// Guards against a truncated response that is taken for a complete one.
TEST_CASE("Reading an aborted response stream fails with ConnectionLost")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        co_await exchange.startStream(200, HttpHeaders());
        co_await exchange.writeChunk("partial");
        exchange.abort();
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        const auto response = co_await client.call(address, makeRequest("GET", "/"), HttpCallOptions());
        REQUIRE_FALSE(response);
        CHECK(response.error().failure == HttpFailure::ConnectionLost);
        CHECK(response.error().phase == SendPhase::Sent);
    });
}

// Guards against a call that waits forever on a connection that delivers no more bytes.
TEST_CASE("A stalled response times out and a refused connection is reported as not sent")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        co_await exchange.startStream(200, HttpHeaders());
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::seconds(5));
        co_await timer.async_wait(Asio::use_awaitable);
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        HttpCallOptions options;
        options.idleTimeout = std::chrono::milliseconds(50);
        const auto stalled = co_await client.call(address, makeRequest("GET", "/"), options);
        REQUIRE_FALSE(stalled);
        CHECK(stalled.error().failure == HttpFailure::Timeout);
        const HttpAddress closedPort {"127.0.0.1", 1};
        const auto refused = co_await client.call(closedPort, makeRequest("GET", "/"), options);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().phase == SendPhase::NotSent);
    });
}

// Guards against the canceller of a finished call that closes a pooled connection which another call already uses. The other
// request is then aborted at its endpoint.
TEST_CASE("The canceller of a finished call does not cancel the next call on its connection")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(50));
        co_await timer.async_wait(Asio::use_awaitable);
        co_await echo(exchange);
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        HttpCallOptions options;
        options.canceller = std::make_shared<HttpCallCanceller>();
        const auto first = co_await client.call(address, makeRequest("POST", "/", "first"), options);
        CHECK(first.value().body == "first");
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(20));
        timer.async_wait([&options](const boost::system::error_code &) { options.canceller->cancel(); });
        const auto second = co_await client.call(address, makeRequest("POST", "/", "second"), HttpCallOptions());
        CHECK(second.has_value());
    });
}

TEST_CASE("Cancelling a call ends it and is reported to the server as a disconnect")
{
    auto isDisconnected = std::make_shared<bool>(false);
    auto handler = [isDisconnected](HttpExchange &exchange) -> Asio::awaitable<void> {
        exchange.onClientDisconnect([isDisconnected] { *isDisconnected = true; });
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(300));
        co_await timer.async_wait(Asio::use_awaitable);
        co_await echo(exchange);
    };
    runWithServer(handler, {}, [isDisconnected](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        HttpCallOptions options;
        options.canceller = std::make_shared<HttpCallCanceller>();
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(50));
        timer.async_wait([&options](const boost::system::error_code &) { options.canceller->cancel(); });
        const auto response = co_await client.call(address, makeRequest("POST", "/", "x"), options);
        CHECK_FALSE(response.has_value());
        Asio::steady_timer later(co_await Asio::this_coro::executor, std::chrono::milliseconds(100));
        co_await later.async_wait(Asio::use_awaitable);
        CHECK(*isDisconnected);
    });
}

TEST_CASE("A response that arrives before the request is completely written is read, and its connection is not reused")
{
    // Reproduces an endpoint that rejects a long request before it has received all of it.
    HttpServerLimits limits;
    limits.maxBodyBytes = 1000;
    runWithServer(echo, limits, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        const auto rejected = co_await client.call(address, makeRequest("POST", "/", std::string(20 * 1024 * 1024, 'x')), HttpCallOptions());
        CHECK(rejected.has_value());
        CHECK(rejected.value().status == 413);
        const auto next = co_await client.call(address, makeRequest("POST", "/", "small"), HttpCallOptions());
        CHECK(next.value().body == "small");
    });
}
