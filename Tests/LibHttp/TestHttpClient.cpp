#include "LibHttp/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
enum class Pace { Fast, OneByte };

constexpr Duration headTimeout = 300ms;
constexpr Duration bodyTimeout = 300ms;
/// Time for the scheduling of both sides on a busy machine.
constexpr Duration schedulingMargin = 500ms;
constexpr std::size_t maxBodyBytes = 64 * 1024;

/// Bytes that a client takes from a server in all, most of them in the sockets' buffers.
constexpr std::size_t maxFloodBytes = std::size_t {32} * 1024 * 1024;

/// Bytes that never end, after a fixed beginning.
struct EndlessAnswer {
    std::string name;
    std::string beginning;
    std::string repeated;
};

const std::vector<EndlessAnswer> &endlessAnswers()
{
    static const std::vector<EndlessAnswer> answers = {
        {"status line", "HTTP/1.1 200 ", "x"},
        {"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
        {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
        {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
        {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
        {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: b\r\n"},
        {"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 2\r\n\r\nno"},
        {"body of an answer to another request", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
    };
    return answers;
}

/// Server that sends an endless answer to each request until the client closes the connection.
class FloodServer
{
public:
    FloodServer(Asio::io_context &context, EndlessAnswer answer, Pace pace)
        : context(context), acceptor(context, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), 0)), answer(std::move(answer)), pace(pace)
    {
        Asio::co_spawn(
            context, [this] { return this->accept(); }, Asio::detached);
    }

    HttpAddress address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    int openConnections = 0;
    std::size_t sentBytes = 0;

private:
    Asio::awaitable<void> accept()
    {
        while (true) {
            Tcp::socket socket = co_await this->acceptor.async_accept(Asio::use_awaitable);
            Asio::co_spawn(
                this->context,
                [this, socket = std::move(socket)]() mutable -> Asio::awaitable<void> { co_await this->serve(std::move(socket)); },
                Asio::detached);
        }
    }

    Asio::awaitable<void> serve(Tcp::socket socket)
    {
        ++this->openConnections;
        boost::system::error_code error;
        Asio::streambuf request;
        co_await Asio::async_read_until(socket, request, "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
        std::string block = this->answer.beginning;
        const std::size_t repetitions = this->pace == Pace::Fast ? 4096 / this->answer.repeated.size() : 1;
        std::string repeated;
        for (std::size_t i = 0; i < repetitions; ++i) {
            repeated += this->answer.repeated;
        }
        Asio::steady_timer timer(this->context);
        std::size_t position = 0;
        while (!error) {
            if (this->pace == Pace::OneByte && block.empty()) {
                block = repeated.substr(position++ % repeated.size(), 1);
                timer.expires_after(10ms);
                co_await timer.async_wait(Asio::use_awaitable);
            }
            co_await Asio::async_write(socket, Asio::buffer(block), Asio::redirect_error(Asio::use_awaitable, error));
            this->sentBytes += block.size();
            block = this->pace == Pace::Fast ? repeated : std::string();
        }
        --this->openConnections;
    }

    Asio::io_context &context;
    Tcp::acceptor acceptor;
    EndlessAnswer answer;
    Pace pace;
};

HttpCallOptions limitedOptions()
{
    HttpCallOptions options;
    options.responseTimeout = headTimeout;
    options.bodyTimeout = bodyTimeout;
    options.maxBodyBytes = maxBodyBytes;
    options.isMatchingResponse = [](const HttpHeaders &headers, ConnectionAge) { return headerValue(headers, "X-Other").empty(); };
    return options;
}

/// Runs the coroutine to its end and `afterwards` longer.
void run(Asio::io_context &context, std::function<Asio::awaitable<void>()> body, Duration afterwards)
{
    bool isDone = false;
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> {
            co_await body();
            isDone = true;
        },
        Asio::detached);
    while (!isDone) {
        context.run_one();
    }
    context.run_for(afterwards);
}
} // namespace

TEST_CASE("An answer without end fails within the time limits, and its connection is closed", "[client]")
{
    for (const Pace pace : {Pace::Fast, Pace::OneByte}) {
        for (const EndlessAnswer &answer : endlessAnswers()) {
            INFO(answer.name << (pace == Pace::Fast ? ", fast" : ", one byte at a time"));
            Asio::io_context context;
            FloodServer server(context, answer, pace);
            HttpClient client(context);
            const MonotonicTime started = monotonicNow();
            bool hasAnswer = true;
            Duration elapsed = Duration::zero();
            const auto call = [&]() -> Asio::awaitable<void> {
                const auto result = co_await client.call(server.address(), makeRequest("GET", "/"), limitedOptions());
                hasAnswer = result.has_value();
                elapsed = monotonicNow() - started;
            };
            run(context, call, 100ms);
            CHECK_FALSE(hasAnswer);
            CHECK(elapsed <= headTimeout + bodyTimeout + schedulingMargin);
            CHECK(server.openConnections == 0);
            // An endless chunk extension took all memory of the machine within the time limits.
            CHECK(server.sentBytes <= maxFloodBytes);
        }
    }
}

TEST_CASE("Interim answers are not handed on as the final answer", "[client]")
{
    Asio::io_context context;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nX-Final: 1\r\nContent-Length: 4\r\n\r\nbody";
    FloodServer server(context, {"interim", interim + final, "x"}, Pace::OneByte);
    HttpClient client(context);
    const auto call = [&]() -> Asio::awaitable<void> {
        const auto result = co_await client.call(server.address(), makeRequest("GET", "/"), limitedOptions());
        CHECK(result.has_value());
        if (result) {
            CHECK(result.value().status == 200);
            CHECK(result.value().body == "body");
            CHECK(headerValue(result.value().headers, "Link").empty());
        }
    };
    run(context, call, 0ms);
}

TEST_CASE("An endpoint that floods does not delay calls to another one", "[client]")
{
    // The limits must end each endless answer before it occupies the event loop.
    Asio::io_context context;
    FloodServer flood(context, endlessAnswers()[5], Pace::Fast);
    FloodServer good(context, {"good", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "x"}, Pace::OneByte);
    HttpClient client(context);
    bool isStopping = false;
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> {
            while (!isStopping) {
                co_await client.call(flood.address(), makeRequest("GET", "/"), limitedOptions());
            }
        },
        Asio::detached);
    const auto calls = [&]() -> Asio::awaitable<void> {
        for (int i = 0; i < 50; ++i) {
            const MonotonicTime started = monotonicNow();
            HttpCallOptions options = limitedOptions();
            options.reuse = ConnectionReuse::Never;
            const auto result = co_await client.call(good.address(), makeRequest("GET", "/"), options);
            CHECK(result.has_value());
            CHECK(monotonicNow() - started <= headTimeout);
        }
        isStopping = true;
    };
    run(context, calls, 0ms);
}

// Guards against descriptors that are kept for endpoints that are gone.
TEST_CASE("Idle connections to addresses that are not called again are closed", "[client]")
{
    Asio::io_context context;
    const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 4\r\n\r\nbody";
    std::vector<std::unique_ptr<FloodServer>> servers;
    for (int i = 0; i < 20; ++i) {
        servers.push_back(std::make_unique<FloodServer>(context, EndlessAnswer {"idle", answer, "x"}, Pace::OneByte));
    }
    HttpClient client(context);
    const auto calls = [&]() -> Asio::awaitable<void> {
        for (const auto &server : servers) {
            const auto result = co_await client.call(server->address(), makeRequest("GET", "/"), limitedOptions());
            CHECK(result.has_value());
        }
    };
    run(context, calls, 2500ms);
    const auto later = [&]() -> Asio::awaitable<void> { co_await client.call(servers.back()->address(), makeRequest("GET", "/"), limitedOptions()); };
    run(context, later, 200ms);
    int open = 0;
    for (const auto &server : servers) {
        open += server->openConnections;
    }
    CHECK(open <= 1);
}
