#include "EntryFixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <malloc.h>

#include <algorithm>
#include <map>
#include <numeric>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Asio::awaitable;
using Tcp = Asio::ip::tcp;

namespace
{
/// Bytes that the tests' instance may hold in all: what it may hold for requests and answers with the default settings, and 12 MB for its
/// connections and the peers in the same process.
constexpr std::size_t maxHeapBytes = 56'000'000;
constexpr std::size_t bodyBytes = std::size_t {1000} * 1024;

std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Largest use of the heap since the start, sampled until it is stopped.
struct HeapPeak {
    std::size_t start = heapBytes();
    std::size_t peak = 0;
    bool isStopping = false;

    awaitable<void> sample(Asio::io_context &context)
    {
        Asio::steady_timer timer(context);
        while (!this->isStopping) {
            const std::size_t now = heapBytes();
            this->peak = std::max(this->peak, now > this->start ? now - this->start : 0);
            timer.expires_after(1ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
    }
};

/// Statuses of the answers by number; 0 is a connection that closed without an answer.
using Statuses = std::map<int, int>;

struct Call {
    std::string target = "/a/b";
    std::string id;
    std::string headers;
    /// Written after the headers by all calls; not copied.
    const std::string *body = nullptr;
    bool isChunked = false;
};

/// Sends one request and records the status of its answer.
awaitable<void> call(EntryFixture &entry, Call request, Statuses &statuses)
{
    Tcp::socket socket(entry.executor());
    boost::system::error_code error;
    const Tcp::endpoint address(Asio::ip::make_address("127.0.0.1"), entry.routerAddress().port);
    co_await socket.async_connect(address, Asio::use_awaitable);
    const std::size_t length = request.body ? request.body->size() : 0;
    const std::string framing = request.isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(length) + "\r\n";
    const std::string head =
        "POST " + request.target + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + request.id + "\r\n" + request.headers + framing + "\r\n";
    co_await Asio::async_write(socket, Asio::buffer(head), Asio::redirect_error(Asio::use_awaitable, error));
    constexpr std::size_t chunkBytes = 100'000;
    for (std::size_t sent = 0; !error && sent < length; sent += chunkBytes) {
        const std::size_t size = std::min(chunkBytes, length - sent);
        char start[32];
        std::snprintf(start, sizeof start, "%zx\r\n", size);
        if (request.isChunked) {
            co_await Asio::async_write(socket, Asio::buffer(std::string_view(start)), Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (!error) {
            co_await Asio::async_write(socket, Asio::buffer(request.body->data() + sent, size), Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (!error && request.isChunked) {
            co_await Asio::async_write(socket, Asio::buffer(std::string_view("\r\n")), Asio::redirect_error(Asio::use_awaitable, error));
        }
    }
    if (!error && request.isChunked) {
        co_await Asio::async_write(socket, Asio::buffer(std::string_view("0\r\n\r\n")), Asio::redirect_error(Asio::use_awaitable, error));
    }
    // A refusal may arrive before the whole body was written.
    error = {};
    std::string answer;
    co_await Asio::async_read_until(socket, Asio::dynamic_buffer(answer), "\r\n", Asio::redirect_error(Asio::use_awaitable, error));
    const std::string start = "HTTP/1.1 ";
    ++statuses[answer.starts_with(start) ? std::stoi(answer.substr(start.size(), 3)) : 0];
}

/// Reads one request and its body, which is not kept; returns its head. Counts a body that differs from `expected`.
awaitable<std::string> readHead(Tcp::socket &socket, const std::string *expected = nullptr, int *differences = nullptr)
{
    std::string head;
    const std::size_t length = co_await Asio::async_read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", Asio::use_awaitable);
    const std::string name = "Content-Length: ";
    const std::size_t at = head.find(name);
    std::size_t rest = at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    if (expected) {
        *differences += rest != expected->size() || expected->compare(0, head.size() - length, head, length, std::string::npos) != 0 ? 1 : 0;
    }
    rest -= std::min(rest, head.size() - length);
    std::string block(4096, '\0');
    while (rest > 0) {
        const std::size_t received = co_await socket.async_read_some(Asio::buffer(block.data(), std::min(rest, block.size())), Asio::use_awaitable);
        if (expected) {
            *differences += expected->compare(expected->size() - rest, received, block, 0, received) != 0 ? 1 : 0;
        }
        rest -= received;
    }
    head.resize(length);
    co_return head;
}

std::string soundAnswer(const std::string &head)
{
    const std::string name = "X-Attempt-Id: ";
    const std::size_t at = head.find(name) + name.size();
    const std::string id = head.substr(at, head.find('\r', at) - at);
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
}

int count(const Statuses &statuses, int status)
{
    const auto entry = statuses.find(status);
    return entry == statuses.end() ? 0 : entry->second;
}
} // namespace

// Guards against an instance that holds all bodies that callers send at once and is ended for its memory with their requests.
TEST_CASE("Large bodies beyond the memory are refused, and small ones served meanwhile", "[memory]")
{
    for (const bool isChunked : {false, true}) {
        INFO((isChunked ? "chunked" : "with a length"));
        EntryFixture entry;
        entry.setRoute(makeRoute(RepeatRule::NonIdempotent, 1));
        entry.addRawEndpoint("e1", [&](Tcp::socket &socket) -> awaitable<void> {
            const std::string head = co_await readHead(socket);
            const bool isLarge = head.find("/a/large") != std::string::npos;
            Asio::steady_timer timer(entry.executor(), isLarge ? 500ms : 0ms);
            co_await timer.async_wait(Asio::use_awaitable);
            const std::string answer = soundAnswer(head);
            co_await Asio::async_write(socket, Asio::buffer(answer), Asio::use_awaitable);
        });
        const std::string body(bodyBytes, 'b');
        const std::string smallBody(1000, 'b');
        Statuses large;
        Statuses small;
        Statuses later;
        HeapPeak heap;
        int running = 100;
        std::vector<std::function<awaitable<void>()>> calls;
        for (int i = 0; i < 100; ++i) {
            calls.push_back([&, i]() -> awaitable<void> {
                Call request;
                request.target = "/a/large";
                request.id = "large-" + std::to_string(i);
                request.body = &body;
                request.isChunked = isChunked;
                co_await call(entry, request, large);
                --running;
            });
        }
        calls.push_back([&]() -> awaitable<void> {
            for (int i = 0; running > 0; ++i) {
                Call request;
                request.id = "small-" + std::to_string(i);
                request.body = &smallBody;
                co_await call(entry, request, small);
            }
            for (int i = 0; i < 3; ++i) {
                Call request;
                request.target = "/a/large";
                request.id = "later-" + std::to_string(i);
                request.body = &body;
                request.isChunked = isChunked;
                co_await call(entry, request, later);
            }
            heap.isStopping = true;
        });
        calls.push_back([&] { return heap.sample(entry.executor()); });
        entry.runAll(std::move(calls));
        CHECK(heap.peak <= maxHeapBytes);
        CHECK(count(large, 200) > 0);
        CHECK(count(large, 503) > 0);
        CHECK(count(large, 200) + count(large, 503) == 100);
        CHECK(count(small, 200) > 0);
        CHECK(small.size() == 1);
        CHECK(count(later, 200) == 3);
    }
}

// Guards against a copy of a large body for each attempt.
TEST_CASE("A body is held once while its attempts send it, and each attempt sends it whole", "[memory]")
{
    constexpr int callers = 18;
    constexpr std::size_t connectionBytes = 8'000'000;
    EntryFixture entry;
    entry.setRoute(makeRoute(RepeatRule::NonIdempotent, 2));
    std::string body(bodyBytes, 'b');
    for (std::size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>('a' + i % 23);
    }
    int requests = 0;
    int differences = 0;
    for (const char *id : {"e1", "e2"}) {
        entry.addRawEndpoint(id, [&](Tcp::socket &socket) -> awaitable<void> {
            // The body stays in the router until all callers have sent theirs.
            Asio::steady_timer timer(entry.executor(), 500ms);
            co_await timer.async_wait(Asio::use_awaitable);
            const std::string head = co_await readHead(socket, &body, &differences);
            std::string answer = soundAnswer(head);
            if (++requests <= callers) {
                answer.replace(0, answer.find("\r\n"), "HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1");
            }
            co_await Asio::async_write(socket, Asio::buffer(answer), Asio::use_awaitable);
        });
    }
    Statuses statuses;
    HeapPeak heap;
    int running = callers;
    std::vector<std::function<awaitable<void>()>> calls;
    for (int i = 0; i < callers; ++i) {
        calls.push_back([&, i]() -> awaitable<void> {
            Call request;
            request.id = "request-" + std::to_string(i);
            request.body = &body;
            co_await call(entry, request, statuses);
            heap.isStopping = --running == 0;
        });
    }
    calls.push_back([&] { return heap.sample(entry.executor()); });
    entry.runAll(std::move(calls));
    CHECK(heap.peak <= callers * bodyBytes + connectionBytes);
    CHECK(count(statuses, 200) == callers);
    CHECK(requests == 2 * callers);
    CHECK(differences == 0);
    CHECK(entry.state.memory.held() == MemoryHeld {});
}

// Guards against endpoints that send bytes without end until the instance is ended for its memory, with the requests of other callers.
TEST_CASE("Many answers without end at once stay within the memory, and other callers are served", "[memory]")
{
    struct Endless {
        std::string name;
        RepeatRule rule;
        std::string beginning;
        std::string repeated;
        /// Bytes after which the endpoint stays silent.
        std::size_t silentAfter;
    };
    constexpr std::size_t never = std::size_t {1} << 40;
    constexpr int callers = 100;
    const std::string chunked = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "ff00\r\n" + std::string(0xff00, 'x') + "\r\n";
    const std::vector<Endless> answers = {
        {"head", RepeatRule::NonIdempotent, "HTTP/1.1 200 OK\r\nX-Long: ", std::string(4096, 'x'), never},
        {"head, then silence", RepeatRule::NonIdempotent, "HTTP/1.1 200 OK\r\nX-Long: ", std::string(500, 'x'), 7000},
        {"plain body", RepeatRule::NonIdempotent, "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'), never},
        {"plain body, then silence", RepeatRule::NonIdempotent, "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'), 3'000'000},
        {"chunk extension", RepeatRule::NonIdempotent, chunked + "5;", std::string(4096, 'x'), never},
        {"chunk extension, then silence", RepeatRule::NonIdempotent, chunked + "5;", std::string(1000, 'x'), 100'000},
        {"event", RepeatRule::ResumableStream, chunked, chunk, never},
        {"event, then silence", RepeatRule::ResumableStream, chunked, chunk, 900'000},
    };
    for (const bool hasDeadline : {true, false}) {
        for (const Endless &endless : answers) {
            INFO(endless.name << (hasDeadline ? ", with a deadline" : ", without a deadline"));
            EntryFixture entry;
            Route route = makeRoute(endless.rule, 2);
            route.timeout = hasDeadline ? 5s : 1s;
            entry.setRoute(route);
            // Both endpoints serve the other callers.
            for (const char *id : {"e1", "e2"}) {
                entry.addRawEndpoint(id, [&](Tcp::socket &socket) -> awaitable<void> {
                    const std::string head = co_await readHead(socket);
                    boost::system::error_code error;
                    if (head.find("/a/flood") == std::string::npos) {
                        const std::string answer = soundAnswer(head);
                        co_await Asio::async_write(socket, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
                        co_return;
                    }
                    co_await Asio::async_write(socket, Asio::buffer(endless.beginning), Asio::redirect_error(Asio::use_awaitable, error));
                    for (std::size_t sent = 0; !error && sent < endless.silentAfter; sent += endless.repeated.size()) {
                        co_await Asio::async_write(socket, Asio::buffer(endless.repeated), Asio::redirect_error(Asio::use_awaitable, error));
                    }
                    char byte = 0;
                    while (!error) {
                        co_await socket.async_read_some(Asio::buffer(&byte, 1), Asio::redirect_error(Asio::use_awaitable, error));
                    }
                });
            }
            Statuses flooded;
            Statuses others;
            HeapPeak heap;
            int running = callers;
            std::vector<std::function<awaitable<void>()>> calls;
            for (int i = 0; i < callers; ++i) {
                calls.push_back([&, i]() -> awaitable<void> {
                    Call request;
                    request.target = "/a/flood";
                    request.id = "flood-" + std::to_string(i);
                    request.headers = hasDeadline ? "X-Deadline-Ms: 1000\r\n" : "";
                    co_await call(entry, request, flooded);
                    heap.isStopping = --running == 0;
                });
            }
            // Callers with plain answers; a stream's sound answer would have to be one, too.
            calls.push_back([&]() -> awaitable<void> {
                for (int i = 0; running > 0 && endless.rule == RepeatRule::NonIdempotent; ++i) {
                    Call request;
                    request.id = "other-" + std::to_string(i);
                    request.headers = "X-Deadline-Ms: 1000\r\n";
                    co_await call(entry, request, others);
                    Asio::steady_timer timer(entry.executor(), 20ms);
                    co_await timer.async_wait(Asio::use_awaitable);
                }
            });
            calls.push_back([&] { return heap.sample(entry.executor()); });
            entry.runAll(std::move(calls));
            UNSCOPED_INFO("heap " << heap.peak << ", others " << count(others, 200));
            CHECK(heap.peak <= maxHeapBytes);
            CHECK(count(flooded, 0) == 0);
            CHECK(count(others, 200) == std::accumulate(others.begin(), others.end(), 0, [](int sum, const auto &entry) { return sum + entry.second; }));
            CHECK(entry.state.memory.held() == MemoryHeld {});
        }
    }
}

// Guards against events that are held twice while callers read slowly, once more than the memory counts.
TEST_CASE("Whole events that wait for slow callers take the memory that they count", "[memory]")
{
    constexpr int callers = 8;
    constexpr double countedShare = 0.8;
    EntryFixture entry;
    Route route = makeRoute(RepeatRule::Stream, 1);
    route.timeout = 6s;
    entry.setRoute(route);
    const std::string event = "data: " + std::string(1'000'000, 'x') + "\n\n";
    entry.addRawEndpoint("e1", [&](Tcp::socket &socket) -> awaitable<void> {
        const std::string head = co_await readHead(socket);
        boost::system::error_code error;
        const std::string begin = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n";
        co_await Asio::async_write(socket, Asio::buffer(begin), Asio::redirect_error(Asio::use_awaitable, error));
        while (!error) {
            co_await Asio::async_write(socket, Asio::buffer(event), Asio::redirect_error(Asio::use_awaitable, error));
        }
    });
    HeapPeak heap;
    std::size_t counted = 0;
    int running = callers;
    std::vector<std::function<awaitable<void>()>> calls;
    for (int i = 0; i < callers; ++i) {
        calls.push_back([&, i]() -> awaitable<void> {
            Tcp::socket socket(entry.executor(), Tcp::v4());
            socket.set_option(Asio::socket_base::receive_buffer_size(4096));
            const Tcp::endpoint address(Asio::ip::make_address("127.0.0.1"), entry.routerAddress().port);
            co_await socket.async_connect(address, Asio::use_awaitable);
            const std::string head =
                "POST /a/b HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: s" + std::to_string(i) + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
            co_await Asio::async_write(socket, Asio::buffer(head), Asio::use_awaitable);
            Asio::steady_timer timer(entry.executor());
            for (const MonotonicTime end = monotonicNow() + 4s; monotonicNow() < end;) {
                counted = std::max(counted, entry.state.memory.held().total);
                timer.expires_after(5ms);
                co_await timer.async_wait(Asio::use_awaitable);
            }
            heap.isStopping = --running == 0;
        });
    }
    calls.push_back([&] { return heap.sample(entry.executor()); });
    entry.runAll(std::move(calls));
    CHECK(counted > callers * event.size());
    CHECK(static_cast<double>(counted) > countedShare * static_cast<double>(heap.peak));
}
