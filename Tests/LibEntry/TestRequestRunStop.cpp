#include "EntryFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{
constexpr Duration stopLimit = 8s;

/// A stop that began `elapsed` ago.
StopSchedule stopSince(Duration elapsed)
{
    return makeStopSchedule(monotonicNow() - elapsed, stopLimit);
}

EntryFixture::EndpointScript answerAndCount(int *arrivals)
{
    return [arrivals](HttpExchange &exchange) -> awaitable<void> {
        ++*arrivals;
        HttpResponse response = jsonResponse(200, "answer");
        for (const HttpHeader &header : validAnswerHeaders(exchange)) {
            response.headers.push_back(header);
        }
        co_await exchange.respond(std::move(response));
    };
}
} // namespace

// Guards against LOST: requests that came late in the stop were passed on to endpoints and cut at its end.
TEST_CASE("A late request that may not end before the process is refused as not run and reaches no endpoint", "[stop]")
{
    const RepeatRule rule = GENERATE(RepeatRule::NonIdempotent, RepeatRule::Idempotent, RepeatRule::ResumableStream);
    EntryFixture entry;
    entry.setRoute(makeRoute(rule, 2));
    int arrivals = 0;
    entry.addEndpoint("e1", answerAndCount(&arrivals));
    // The deadline is 3 s, and 2.3 s are left until requests in progress are ended.
    entry.state.stop = stopSince(5s);
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.status == 503);
    CHECK(arrivals == 0);
    REQUIRE_FALSE(headerValue(answer.headers, "Retry-After").empty());
    CHECK(std::stod(headerValue(answer.headers, "Retry-After")) <= 0.2);
}

TEST_CASE("A request that comes during the stop and ends before it is served", "[stop]")
{
    const Duration elapsed = GENERATE(Duration(0s), Duration(2s), Duration(4s));
    EntryFixture entry;
    entry.setRoute(makeRoute(RepeatRule::NonIdempotent, 1));
    int arrivals = 0;
    entry.addEndpoint("e1", answerAndCount(&arrivals));
    entry.state.stop = stopSince(elapsed);
    CHECK(entry.send(callerHeaders("id1")).status == 200);
    CHECK(arrivals == 1);
}

TEST_CASE("A request that fails at the end of the stop is not sent to another endpoint", "[stop]")
{
    EntryFixture entry;
    entry.setRoute(makeRoute(RepeatRule::Idempotent, 3));
    int arrivals = 0;
    const auto breakAtEnd = [&](HttpExchange &exchange) -> awaitable<void> {
        ++arrivals;
        entry.state.stop = stopSince(7500ms);
        exchange.abort();
        co_return;
    };
    entry.addEndpoint("e1", breakAtEnd);
    entry.addEndpoint("e2", breakAtEnd);
    CHECK(entry.send(callerHeaders("id1")).status == 504);
    CHECK(arrivals == 1);
}

// Guards against LOST: what was in progress at the end of the stop was cut
// before any answer.
TEST_CASE("A request that is interrupted by the stop gets a complete answer "
          "that says whether it may have run",
          "[stop]")
{
    const RepeatRule rule = GENERATE(RepeatRule::NonIdempotent, RepeatRule::Idempotent, RepeatRule::ResumableStream);
    EntryFixture entry;
    entry.setRoute(makeRoute(rule, 3));
    int arrivals = 0;
    const auto interruptAndHold = [&](HttpExchange &) -> awaitable<void> {
        ++arrivals;
        entry.state.stop = stopSince(7400ms);
        CHECK(entry.state.requests.count() == 1);
        CHECK(entry.state.requests.interrupt(false) == 1);
        CHECK(entry.state.requests.interrupt(true) == 0);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 1s);
        co_await timer.async_wait(boost::asio::use_awaitable);
    };
    entry.addEndpoint("e1", interruptAndHold);
    entry.addEndpoint("e2", interruptAndHold);
    CHECK(entry.send(callerHeaders("id1")).status == 504);
    CHECK(arrivals == 1);
    CHECK(entry.state.requests.count() == 0);
}

// Guards against MIXED: a stream that the stop ends must not look complete.
TEST_CASE("A stream that has begun is broken off by the end of the stop only, "
          "and does not look complete",
          "[stop]")
{
    EntryFixture entry;
    entry.setRoute(makeRoute(RepeatRule::ResumableStream, 3));
    int arrivals = 0;
    const auto streamAndInterrupt = [&](HttpExchange &exchange) -> awaitable<void> {
        ++arrivals;
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        co_await exchange.writeChunk("id: 1\ndata: x\n\n");
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 100ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
        entry.state.stop = stopSince(7400ms);
        CHECK(entry.state.requests.interrupt(false) == 0);
        CHECK(entry.state.requests.interrupt(true) == 1);
        timer.expires_after(1s);
        co_await timer.async_wait(boost::asio::use_awaitable);
    };
    entry.addEndpoint("e1", streamAndInterrupt);
    entry.addEndpoint("e2", streamAndInterrupt);
    // The connection ends before the stream does.
    CHECK(entry.send(callerHeaders("id1")).status == 0);
    CHECK(arrivals == 1);
}
