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
HttpResponse refusal(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

/// Runs a server and one client coroutine on the same context until the coroutine ends.
void runWithServer(HttpHandler handler, HttpServerLimits limits, std::function<Asio::awaitable<void>(HttpAddress, HttpClient &)> body)
{
    Asio::io_context context;
    HttpServer server(context, {"127.0.0.1", 0}, limits, std::move(handler), refusal);
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

TEST_CASE("A whole answer and a streamed answer arrive complete")
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

// Guards against a caller that fills the memory with one request.
TEST_CASE("A body over the limit is refused with its own error")
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 10;
    runWithServer(echo, limits, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        const auto answer = co_await client.call(address, makeRequest("POST", "/", std::string(100, 'x')), HttpCallOptions());
        CHECK(answer.value().status == 413);
        CHECK(answer.value().body == "body_too_large");
    });
}

// Guards against a truncated answer that passes for a whole one.
TEST_CASE("An aborted stream is an error for the reader")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        co_await exchange.startStream(200, HttpHeaders());
        co_await exchange.writeChunk("partial");
        exchange.abort();
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        const auto answer = co_await client.call(address, makeRequest("GET", "/"), HttpCallOptions());
        REQUIRE_FALSE(answer);
        CHECK(answer.error().failure == HttpFailure::ConnectionLost);
        CHECK(answer.error().phase == SendPhase::Sent);
    });
}

// Guards against a caller that waits for good on a connection that went silent.
TEST_CASE("A silent answer times out and a refused connection counts as not sent")
{
    auto handler = [](HttpExchange &exchange) -> Asio::awaitable<void> {
        co_await exchange.startStream(200, HttpHeaders());
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::seconds(5));
        co_await timer.async_wait(Asio::use_awaitable);
    };
    runWithServer(handler, {}, [](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        HttpCallOptions options;
        options.idleTimeout = std::chrono::milliseconds(50);
        const auto silent = co_await client.call(address, makeRequest("GET", "/"), options);
        REQUIRE_FALSE(silent);
        CHECK(silent.error().failure == HttpFailure::Timeout);
        const HttpAddress closedPort {"127.0.0.1", 1};
        const auto refused = co_await client.call(closedPort, makeRequest("GET", "/"), options);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().phase == SendPhase::NotSent);
    });
}

// Seen as requests cut at their endpoints: the canceller of an ended call closed a pooled connection that had gone on to another call.
TEST_CASE("The canceller of an ended call leaves its connection to the next one")
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

TEST_CASE("A cancelled call ends at once and its peer learns it")
{
    auto callerGone = std::make_shared<bool>(false);
    auto handler = [callerGone](HttpExchange &exchange) -> Asio::awaitable<void> {
        exchange.onClientDisconnect([callerGone] { *callerGone = true; });
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(300));
        co_await timer.async_wait(Asio::use_awaitable);
        co_await echo(exchange);
    };
    runWithServer(handler, {}, [callerGone](HttpAddress address, HttpClient &client) -> Asio::awaitable<void> {
        HttpCallOptions options;
        options.canceller = std::make_shared<HttpCallCanceller>();
        Asio::steady_timer timer(co_await Asio::this_coro::executor, std::chrono::milliseconds(50));
        timer.async_wait([&options](const boost::system::error_code &) { options.canceller->cancel(); });
        const auto answer = co_await client.call(address, makeRequest("POST", "/", "x"), options);
        CHECK_FALSE(answer.has_value());
        Asio::steady_timer later(co_await Asio::this_coro::executor, std::chrono::milliseconds(100));
        co_await later.async_wait(Asio::use_awaitable);
        CHECK(*callerGone);
    });
}

TEST_CASE("An answer that comes before the request is written is read, and its connection not used again")
{
    // Pattern: an endpoint rejects a long request before it is in.
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
