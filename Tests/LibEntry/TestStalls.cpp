#include "EntryFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace Godwitfork;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{
constexpr int eventsBefore = 2;
constexpr int eventsInAll = 4;
/// Longer than the stall timeout with `shortPause`, also of an endpoint that gave output lately.
constexpr Duration silence = 1500ms;
constexpr Duration shortPause = 100ms;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string wholeStream()
{
    std::string text;
    for (int id = 1; id <= eventsInAll; ++id) {
        text += event(id);
    }
    return text;
}

awaitable<void> sleep(Duration time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Sends `before` events, is silent, then sends the others. A stream that is resumed is sent without a pause.
EntryFixture::EndpointScript silentInside(int *requests, int before = eventsBefore)
{
    return [=](HttpExchange &exchange) -> awaitable<void> {
        ++*requests;
        const std::string after = headerValue(exchange.request().headers, "Last-Event-Id");
        const int start = after.empty() ? 1 : std::stoi(after) + 1;
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        for (int id = start; id <= eventsInAll; ++id) {
            if (id == before + 1 && after.empty()) {
                co_await sleep(silence);
            }
            co_await exchange.writeChunk(event(id));
        }
        co_await exchange.finishStream();
    };
}

/// Answers after `delay`.
EntryFixture::EndpointScript answerAfter(Duration delay, int *requests)
{
    return [=](HttpExchange &exchange) -> awaitable<void> {
        ++*requests;
        co_await sleep(delay);
        HttpResponse response;
        response.headers = validAnswerHeaders(exchange);
        response.body = "answer";
        co_await exchange.respond(std::move(response));
    };
}

Route streamRoute(RepeatRule rule, int attemptLimit)
{
    Route route = makeRoute(rule, attemptLimit);
    route.pauseObjective = shortPause;
    return route;
}

void forbidRetries(EntryState &state)
{
    state.settings.retryRatio = 0;
    state.setRetryAllowance(0);
}

const std::string suspectParts = "5a:900,dead:300,own:10";

/// Records that endpoints crashed on the prompt of `suspectParts`, not often enough to refuse it.
void makePromptSuspect(EntryState &state)
{
    const MonotonicTime now = monotonicNow();
    const std::vector<PromptPart> prompt = {{"5a", 900}, {"dead", 300}, {"own", 10}};
    const std::vector<PromptPart> sound = {{"5a", 900}, {"sound", 10}};
    state.promptQuarantine.recordOutput(sound, now - 400ms);
    state.promptQuarantine.recordCrash(prompt, crashKey("c1", 1), now - 300ms);
    state.promptQuarantine.recordOutput(sound, now - 200ms);
    state.promptQuarantine.recordCrash(prompt, crashKey("c2", 1), now - 100ms);
}
} // namespace

TEST_CASE("A stream that may not be resumed outlasts the silence of its endpoint", "[stall]")
{
    // Guards against LOST: the router cut a stream that its endpoint would have finished in time.
    EntryFixture entry;
    entry.setRoute(streamRoute(RepeatRule::Stream, 3));
    int requests = 0;
    entry.addEndpoint("e1", silentInside(&requests));
    entry.addEndpoint("e2", silentInside(&requests));
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream());
    CHECK(requests == 1);
}

TEST_CASE("A stream that may be resumed, but not now, outlasts the silence of its endpoint", "[stall]")
{
    // Guards against LOST: the router cut a stream that could not go on elsewhere and that its endpoint would have finished in time.
    const std::string obstacle = GENERATE(std::string("budget"), std::string("endpoint"), std::string("attempt limit"), std::string("suspect prompt"));
    CAPTURE(obstacle);
    EntryFixture entry;
    Route route = streamRoute(RepeatRule::ResumableStream, obstacle == "attempt limit" ? 1 : 3);
    route.latencyObjective = shortPause;
    entry.setRoute(route);
    int requests = 0;
    // A prompt that has had output is no longer suspect.
    const int before = obstacle == "suspect prompt" ? 0 : eventsBefore;
    entry.addEndpoint("e1", silentInside(&requests, before));
    if (obstacle != "endpoint") {
        entry.addEndpoint("e2", silentInside(&requests, before));
    }
    HttpHeaders headers = callerHeaders("id1");
    if (obstacle == "budget") {
        forbidRetries(entry.state);
    } else if (obstacle == "suspect prompt") {
        makePromptSuspect(entry.state);
        headers.push_back({"X-Prompt-Prefix", suspectParts});
    }
    const HttpResponse answer = entry.send(headers);
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream());
    CHECK(requests == 1);
}

TEST_CASE("A stream whose endpoint is silent goes on elsewhere where it can", "[stall]")
{
    // Guards against callers that wait for an endpoint that has stopped.
    EntryFixture entry;
    entry.setRoute(streamRoute(RepeatRule::ResumableStream, 3));
    int requests = 0;
    entry.addEndpoint("e1", silentInside(&requests));
    entry.addEndpoint("e2", silentInside(&requests));
    const MonotonicTime started = monotonicNow();
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeStream());
    CHECK(requests == 2);
    CHECK(monotonicNow() - started < silence);
}

TEST_CASE("A stream whose endpoint is silent goes on elsewhere once a retry is allowed again", "[stall]")
{
    // Guards against callers that wait for an endpoint that has stopped because nothing was allowed when its limit passed.
    EntryFixture entry;
    forbidRetries(entry.state);
    entry.setRoute(streamRoute(RepeatRule::ResumableStream, 3));
    int requests = 0;
    entry.addEndpoint("e1", silentInside(&requests));
    entry.addEndpoint("e2", silentInside(&requests));
    entry.runLater(900ms, [&entry] { entry.state.setRetryAllowance(100); });
    const MonotonicTime started = monotonicNow();
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.body == wholeStream());
    CHECK(requests == 2);
    CHECK(monotonicNow() - started < silence);
}

TEST_CASE("Two streams with silent endpoints do not share one retry", "[stall]")
{
    // Guards against LOST: both streams were cancelled for the last retry of the budget, and one of them ended there.
    EntryFixture entry;
    entry.state.settings.retryRatio = 0;
    // Half of the allowance is handed out.
    entry.state.setRetryAllowance(2);
    entry.setRoute(streamRoute(RepeatRule::ResumableStream, 3));
    int requests = 0;
    for (const std::string id : {"e1", "e2", "e3", "e4"}) {
        entry.addEndpoint(id, silentInside(&requests));
    }
    // On a busy machine the watches of both streams run in the same turn of the event loop.
    for (int turn = 0; turn < 40; ++turn) {
        entry.runLater(turn * 30ms, [] { std::this_thread::sleep_for(25ms); });
    }
    const std::vector<HttpResponse> answers = entry.sendTogether({callerHeaders("id1"), callerHeaders("id2")});
    CHECK(answers[0].body == wholeStream());
    CHECK(answers[1].body == wholeStream());
    CHECK(requests == 3);
}

TEST_CASE("A caller that reads slowly is not taken for a silent endpoint", "[stall]")
{
    // Guards against LOST and BUDGET: the stream of a slow reader was cancelled, and started again elsewhere or cut.
    const RepeatRule rule = GENERATE(RepeatRule::Stream, RepeatRule::ResumableStream);
    EntryFixture entry;
    entry.setRoute(streamRoute(rule, 3));
    int requests = 0;
    const int events = 200;
    const std::string data(100'000, 'x');
    const auto script = [&](HttpExchange &exchange) -> awaitable<void> {
        ++requests;
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        for (int id = 1; id <= events; ++id) {
            co_await exchange.writeChunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
        }
        co_await exchange.finishStream();
    };
    entry.addEndpoint("e1", script);
    entry.addEndpoint("e2", script);
    HttpHeaders headers = callerHeaders("id1");
    headers.push_back({"X-Deadline-Ms", "9000"});
    std::erase(headers, HttpHeader {"X-Deadline-Ms", "3000"});
    const std::string answer = entry.sendRaw(headers, silence);
    CHECK(answer.ends_with("\r\n0\r\n\r\n"));
    CHECK(answer.find("id: 200\n") != std::string::npos);
    CHECK(requests == 1);
}

TEST_CASE("A caller that leaves ends a tolerated silence at once", "[stall]")
{
    // Guards against endpoints that go on for callers that have left.
    EntryFixture entry;
    entry.setRoute(streamRoute(RepeatRule::Stream, 1));
    bool isOpen = true;
    Duration elapsed = Duration::zero();
    entry.addEndpoint("e1", [&](HttpExchange &exchange) -> awaitable<void> {
        const MonotonicTime started = monotonicNow();
        exchange.onClientDisconnect([&] { isOpen = false; });
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        co_await exchange.writeChunk(event(1));
        while (isOpen && elapsed < 2500ms) {
            co_await sleep(20ms);
            elapsed = monotonicNow() - started;
        }
    });
    entry.sendAndLeave(callerHeaders("id1"), 1000ms);
    CHECK_FALSE(isOpen);
    CHECK(elapsed < 1400ms);
}

TEST_CASE("A plain request that can't be sent elsewhere has its whole time for its answer", "[stall]")
{
    // Guards against 502 and 504 for answers that would have come in time: part of the time was kept for a retry that was not allowed.
    const std::string obstacle = GENERATE(std::string("budget"), std::string("endpoint"));
    CAPTURE(obstacle);
    EntryFixture entry;
    Route route = makeRoute(RepeatRule::Idempotent, 2);
    route.timeout = 1500ms;
    entry.setRoute(route);
    int requests = 0;
    entry.addEndpoint("e1", answerAfter(1200ms, &requests));
    if (obstacle == "budget") {
        entry.addEndpoint("e2", answerAfter(1200ms, &requests));
        forbidRetries(entry.state);
    }
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer");
    CHECK(requests == 1);
}

TEST_CASE("A plain request without an answer is sent elsewhere while there is time", "[stall]")
{
    // Guards against a request that waits for a stopped endpoint until no other one has time to answer.
    EntryFixture entry;
    Route route = makeRoute(RepeatRule::Idempotent, 2);
    route.timeout = 1500ms;
    entry.setRoute(route);
    int requests = 0;
    const auto script = [&](HttpExchange &exchange) -> awaitable<void> {
        const Duration delay = requests == 0 ? 5000ms : 0ms;
        co_await answerAfter(delay, &requests)(exchange);
    };
    entry.addEndpoint("e1", script);
    entry.addEndpoint("e2", script);
    const MonotonicTime started = monotonicNow();
    const HttpResponse answer = entry.send(callerHeaders("id1"));
    CHECK(answer.status == 200);
    CHECK(requests == 2);
    CHECK(monotonicNow() - started < 1100ms);
}
