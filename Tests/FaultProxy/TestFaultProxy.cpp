#include "FaultProxy/FaultProxy.h"
#include "LibHttp/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using Result = Asio::awaitable<void>;

namespace
{
constexpr std::uint64_t seed = 20261204;
constexpr Duration silencePeriod = 100ms;

Result echo(Tcp::socket socket)
{
    boost::system::error_code error;
    std::string bytes(4096, '\0');
    while (!error) {
        const std::size_t count = co_await socket.async_read_some(Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
        co_await Asio::async_write(socket, Asio::buffer(bytes.data(), count), Asio::redirect_error(Asio::use_awaitable, error));
    }
}

/// Proxy in front of an echo server. Both run on one context together with the test's coroutine.
struct ProxyFixture {
    Asio::io_context context;
    Tcp::acceptor acceptor {context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0)};
    FaultProxy proxy {context, seed};
    Route &route = proxy.addRoute("echo", {"127.0.0.1", acceptor.local_endpoint().port()});
    HttpClient client {context};

    Result serve()
    {
        while (true) {
            Tcp::socket socket = co_await this->acceptor.async_accept(Asio::use_awaitable);
            Asio::co_spawn(this->context, echo(std::move(socket)), [](std::exception_ptr) {});
        }
    }

    void run(std::function<Result(ProxyFixture &)> body)
    {
        this->proxy.start();
        Asio::co_spawn(this->context, this->serve(), [](std::exception_ptr) {});
        std::exception_ptr failure;
        Asio::co_spawn(this->context, body(*this), [&](std::exception_ptr error) {
            failure = error;
            this->context.stop();
        });
        this->context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    /// Sends a request to the control API and returns the response's status.
    Asio::awaitable<int> control(std::string method, std::string target, std::string body)
    {
        HttpRequest request = makeRequest(std::move(method), std::move(target), std::move(body));
        const auto response = co_await this->client.call(this->proxy.controlAddress(), std::move(request), HttpCallOptions());
        co_return response.value().status;
    }

    Result setFaults(std::string faults)
    {
        const int status = co_await this->control("PUT", "/routes/echo/faults", faults);
        REQUIRE(status == 200);
    }

    Asio::awaitable<Tcp::socket> connect()
    {
        Tcp::socket socket(this->context);
        co_await socket.async_connect({Asio::ip::address_v4::loopback(), this->route.address().port}, Asio::use_awaitable);
        co_return socket;
    }

    Result sleep(Duration duration)
    {
        Asio::steady_timer timer(this->context, duration);
        co_await timer.async_wait(Asio::use_awaitable);
    }
};

Result send(Tcp::socket &socket, std::string text)
{
    co_await Asio::async_write(socket, Asio::buffer(text), Asio::use_awaitable);
}

Result expectText(Tcp::socket &socket, std::string text)
{
    std::string received(text.size(), '\0');
    co_await Asio::async_read(socket, Asio::buffer(received), Asio::use_awaitable);
    CHECK(received == text);
}

Asio::awaitable<Duration> roundTrip(Tcp::socket &socket)
{
    const MonotonicTime start = monotonicNow();
    co_await send(socket, "ping");
    co_await expectText(socket, "ping");
    co_return monotonicNow() - start;
}
} // namespace

// Guards against a delay that is applied once instead of in each direction, against jitter that shortens the delay, and against a
// delay that remains after the fault was removed.
TEST_CASE("Delay and jitter are added in each direction until the fault is removed")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        Tcp::socket socket = co_await fixture.connect();
        co_await fixture.setFaults(R"({"delay_ms": 40, "jitter_ms": 20})");
        const Duration delayed = co_await roundTrip(socket);
        CHECK(delayed >= 80ms);
        co_await fixture.setFaults("{}");
        const Duration normal = co_await roundTrip(socket);
        CHECK(normal < 80ms);
    });
}

// Guards against jitter that is not reproducible from its seed.
TEST_CASE("The same seed yields the same jitter")
{
    Asio::io_context context;
    const auto jitters = [&context](std::uint64_t routeSeed) {
        Route route(context, "a", {"127.0.0.1", 1}, routeSeed);
        Faults faults;
        faults.jitter = 1h;
        route.setFaults(faults);
        std::vector<long> minutes;
        for (int i = 0; i < 8; ++i) {
            minutes.push_back(std::chrono::round<std::chrono::minutes>(route.scheduleWrite(Direction::ToClient, 1) - monotonicNow()).count());
        }
        return minutes;
    };
    CHECK(jitters(seed) == jitters(seed));
    CHECK(jitters(seed) != jitters(seed + 1));
}

// Guards against a cut that stalls connections instead of resetting them, accepts new connections or releases the route's port.
TEST_CASE("A cut resets open connections and refuses new ones, and the route reopens on the same port")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        Tcp::socket socket = co_await fixture.connect();
        co_await roundTrip(socket);
        for (int repetition = 0; repetition < 2; ++repetition) {
            co_await fixture.setFaults(R"({"cut": true})");
            boost::system::error_code error;
            char byte = 0;
            co_await socket.async_read_some(Asio::buffer(&byte, 1), Asio::redirect_error(Asio::use_awaitable, error));
            CHECK(error == Asio::error::connection_reset);
            Tcp::socket refused(fixture.context);
            const Tcp::endpoint endpoint(Asio::ip::address_v4::loopback(), fixture.route.address().port);
            co_await refused.async_connect(endpoint, Asio::redirect_error(Asio::use_awaitable, error));
            CHECK(error == Asio::error::connection_refused);
            co_await fixture.setFaults("{}");
            socket = co_await fixture.connect();
            co_await roundTrip(socket);
        }
    });
}

// Guards against a freeze that closes the connection, ends without or with a later change of faults, or affects new connections.
TEST_CASE("A freeze permanently stops open connections while new ones work")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        Tcp::socket frozen = co_await fixture.connect();
        co_await roundTrip(frozen);
        const int status = co_await fixture.control("POST", "/routes/echo/freeze", "");
        CHECK(status == 200);
        co_await send(frozen, "lost");
        Tcp::socket fresh = co_await fixture.connect();
        co_await roundTrip(fresh);
        co_await fixture.setFaults(R"({"cut": true})");
        co_await fixture.setFaults("{}");
        co_await fixture.sleep(silencePeriod);
        boost::system::error_code error;
        char byte = 0;
        frozen.non_blocking(true);
        frozen.receive(Asio::buffer(&byte, 1), 0, error);
        CHECK(error == Asio::error::would_block);
        CHECK(fixture.route.frozenConnections() == 1);
    });
}

// Guards against a drop in the wrong direction, and against a gap in the stream after the fault, which TCP rules out.
TEST_CASE("A dropped direction forwards nothing until the fault ends, while the other direction works")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        Tcp::socket socket = co_await fixture.connect();
        co_await fixture.setFaults(R"({"drop": "to_client"})");
        co_await send(socket, "one");
        co_await fixture.sleep(silencePeriod);
        CHECK(socket.available() == 0);
        CHECK(fixture.route.bytesForwarded(Direction::ToTarget) == 3);
        co_await fixture.setFaults(R"({"drop": "to_target"})");
        co_await expectText(socket, "one");
        co_await send(socket, "two");
        co_await fixture.sleep(silencePeriod);
        CHECK(fixture.route.bytesForwarded(Direction::ToTarget) == 3);
        co_await fixture.setFaults("{}");
        co_await expectText(socket, "two");
    });
}

// Guards against a limit per connection, with which a route would exceed its bandwidth.
TEST_CASE("All connections of a route share its bandwidth limit")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        Tcp::socket first = co_await fixture.connect();
        Tcp::socket second = co_await fixture.connect();
        co_await fixture.setFaults(R"({"bytes_per_second": 100000})");
        const MonotonicTime start = monotonicNow();
        const std::string text(15000, 'x');
        co_await send(first, text);
        co_await send(second, text);
        co_await expectText(first, text);
        co_await expectText(second, text);
        CHECK(monotonicNow() - start >= 300ms);
    });
}

// Guards against a misspelt fault that is accepted but has no effect.
TEST_CASE("The control API rejects unknown routes, keys and values, and adds routes at run time")
{
    ProxyFixture().run([](ProxyFixture &fixture) -> Result {
        for (const std::string faults : {R"({"dealy_ms": 1})", R"({"delay_ms": -1})", R"({"drop": "both"})", "[", R"({"bytes_per_second": 1.5})"}) {
            const int status = co_await fixture.control("PUT", "/routes/echo/faults", faults);
            CHECK(status == 400);
        }
        const int unknown = co_await fixture.control("PUT", "/routes/other/faults", "{}");
        CHECK(unknown == 404);
        const int added = co_await fixture.control("PUT", "/routes/other", R"({"forward": "127.0.0.1:9"})");
        CHECK(added == 200);
        CHECK(fixture.proxy.allRoutes().at("other")->forward().port == 9);
    });
}
