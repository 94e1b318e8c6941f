#include "LibTimeLine/TimeLine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;

namespace
{
LogEvent makeEvent(std::int64_t time, const std::string &instance, const std::string &name, const std::string &id)
{
    LogEvent event;
    event.time = time;
    event.instance = instance;
    event.name = name;
    event.requestId = id;
    event.fields = "{}";
    return event;
}
} // namespace

// Guards against a truncated line, as a killed process leaves it, that prevents the following lines from being read.
TEST_CASE("Malformed lines are reported with file and line number, and all other lines are read")
{
    const std::string log = R"({"time":1,"level":"info","process":"p","instance":"a","event":"x","request_id":"r","n":5})"
                            "\nnot json\n\n{\"time\":\"1\"}\r\n{\"time\":2,\"instance\":\"a\"}\n"
                            R"({"time":3,"instance":"a","event":"y"})"
                            "\n{\"time\":4,\"inst";
    Findings findings;
    const auto events = parseLog("a.log", log, findings);
    REQUIRE(events.size() == 2);
    CHECK(events[0].requestId == "r");
    CHECK(events[0].fields == R"({"n":5})");
    CHECK(events[1].line == 6);
    CHECK(findings.toText()
          == "a.log:2:0: not a JSON object\na.log:4:0: the member 'time' is missing or not an integer\n"
             "a.log:5:0: the member 'event' is missing or not a string\na.log:7:0: not a JSON object\n");
}

// Guards against offsets with the wrong sign and against an actual error above the stated bound.
TEST_CASE("The true clock offsets lie within the stated error bounds")
{
    const bool holds = rc::check([] {
        const auto offsetB = *rc::gen::inRange<std::int64_t>(-5'000'000, 5'000'000);
        const auto offsetC = *rc::gen::inRange<std::int64_t>(-5'000'000, 5'000'000);
        std::vector<LogEvent> events;
        const int messages = *rc::gen::inRange(1, 20);
        for (int i = 0; i < messages; ++i) {
            const std::int64_t time = 1'000'000'000 + i * 10'000;
            const auto delay = [] { return *rc::gen::inRange<std::int64_t>(0, 5000); };
            const std::string id = std::to_string(i);
            events.push_back(makeEvent(time, "a", "query.sent", id));
            events.push_back(makeEvent(time + delay() + offsetB, "b", "query.received", id));
            events.push_back(makeEvent(time + 5000 + offsetB, "b", "reply.sent", id));
            events.push_back(makeEvent(time + 5000 + delay(), "a", "reply.received", id));
            events.push_back(makeEvent(time + offsetB, "b", "gossip.sent", id));
            events.push_back(makeEvent(time + delay() + offsetC, "c", "gossip.received", id));
            events.push_back(makeEvent(time + offsetC, "c", "answer.sent", id));
            events.push_back(makeEvent(time + delay() + offsetB, "b", "answer.received", id));
        }
        const auto clocks = estimateClocks(events);
        RC_ASSERT(clocks.at("b").basis == ClockBasis::Reference);
        RC_ASSERT(std::abs(clocks.at("a").offsetMicroseconds + offsetB) <= clocks.at("a").errorMicroseconds);
        RC_ASSERT(std::abs(clocks.at("c").offsetMicroseconds - (offsetC - offsetB)) <= clocks.at("c").errorMicroseconds);
    });
    CHECK(holds);
}

// Guards against an error bound that messages in one direction, or a lack of messages, cannot justify.
TEST_CASE("A clock estimate states if it is based on messages in one direction or on none")
{
    const TimeLine timeLine = mergeEvents(
        {makeEvent(1000, "a", "m.sent", "1"), makeEvent(1500, "a", "n", ""), makeEvent(400, "b", "m.received", "1"), makeEvent(2000, "c", "m.received", "2")},
        {});
    CHECK(timeLine.clocks.at("b") == ClockEstimate {-600, -1, ClockBasis::OneDirection});
    CHECK(timeLine.clocks.at("c").basis == ClockBasis::Unknown);
    CHECK(correctedTime(timeLine, timeLine.events[1]) == 1000);
    CHECK(renderText(timeLine).find("clock of c: unknown, no matching messages, not corrected") != std::string::npos);
    // A message that was sent twice is not matched, because it is ambiguous which of the two was received.
    const auto repeated = estimateClocks({makeEvent(1, "a", "m.sent", "1"), makeEvent(2, "a", "m.sent", "1"), makeEvent(0, "b", "m.received", "1")});
    CHECK(repeated.at("b").basis == ClockBasis::Unknown);
}

// Guards against a page that loads external resources or executes script text that a caller placed in a log.
TEST_CASE("The HTML page is self-contained and escapes log text")
{
    LogEvent event = makeEvent(1'796'364'028'434'374, "a", "<script>alert(1)</script>", "r");
    const TimeLine timeLine = mergeEvents({event}, {});
    const std::string page = renderHtml(timeLine);
    CHECK(page.find("<script>alert") == std::string::npos);
    CHECK(page.find("&lt;script&gt;") != std::string::npos);
    for (const char *external : {"http:", "https:", "src=", "href=", "@import", "url("}) {
        CHECK(page.find(external) == std::string::npos);
    }
    CHECK(renderText(timeLine).find("2026-12-04 06:00:28.434374 a <script>") != std::string::npos);
}

// Guards against a filter that changes the clock estimates or removes matching events.
TEST_CASE("Filters select events by request, instance and event name")
{
    const TimeLine timeLine = mergeEvents({makeEvent(2, "b", "request.started", "r2"), makeEvent(1, "a", "request.started", "r1")}, {});
    CHECK(timeLine.events[0].instance == "a");
    CHECK(filterEvents(timeLine, {"r2", "", ""}).events.size() == 1);
    CHECK(filterEvents(timeLine, {"", "a", "request."}).events.size() == 1);
    CHECK(filterEvents(timeLine, {"", "", "journal."}).events.empty());
    CHECK(filterEvents(timeLine, {"r1", "", ""}).clocks == timeLine.clocks);
}
