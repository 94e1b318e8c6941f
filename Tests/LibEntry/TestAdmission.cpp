#include "EntryFixture.h"

#include <boost/asio/awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
EntryFixture::EndpointScript countedAnswer(int *count)
{
    return [count](HttpExchange &exchange) -> boost::asio::awaitable<void> {
        ++*count;
        HttpResponse response;
        response.status = 200;
        response.headers = validAnswerHeaders(exchange);
        co_await exchange.respond(std::move(response));
    };
}

/// Sets the load that other instances report for endpoint `e1`, which has eight slots, and the waits that they have observed.
void setBacklog(EntryFixture &entry, int running, double observedWaitSeconds)
{
    ServiceStatistics statistics;
    statistics.promptWaits = {observedWaitSeconds * 100, 100};
    entry.state.chooser.loads().setPeerUsage({{endpointKey("e1"), {running, 0ms, {}, {}}}}, {{"pool", statistics}}, monotonicNow());
}
} // namespace

TEST_CASE("A request that cannot be served before its deadline is refused only with overload control", "[admission]")
{
    for (const bool isOn : {false, true}) {
        EntryFixture entry;
        entry.setRoute(makeRoute(RepeatRule::Idempotent, 2));
        int arrivals = 0;
        entry.addEndpoint("e1", countedAnswer(&arrivals));
        entry.state.settings.controlsOverload = isOn;
        setBacklog(entry, 1000, 30);
        const HttpResponse answer = entry.send(callerHeaders("id1"));
        CHECK(answer.status == (isOn ? 503 : 200));
        CHECK(arrivals == (isOn ? 0 : 1));
        if (isOn) {
            CHECK(std::stod(headerValue(answer.headers, "Retry-After")) > 0);
            CHECK(entry.state.overload.counts().at({"r", "refused_deadline"}) == 1);
        } else {
            CHECK(entry.state.overload.counts().empty());
        }
    }
}

TEST_CASE("A request with time to spare is held back for more urgent ones until their wait is short", "[admission]")
{
    for (const bool isOn : {false, true}) {
        EntryFixture entry;
        Route route = makeRoute(RepeatRule::Idempotent, 2);
        route.priority = 2;
        route.latencyObjective = 8s;
        entry.setRoute(route);
        int arrivals = 0;
        entry.addEndpoint("e1", countedAnswer(&arrivals));
        entry.state.settings.controlsOverload = isOn;
        setBacklog(entry, 120, 0.9);
        AdmissionRequest urgent;
        urgent.service = "pool";
        urgent.kind = "urgent";
        urgent.objective = 300ms;
        urgent.work = 60ms;
        entry.state.overload.recordDemand(urgent, monotonicNow());
        entry.runLater(600ms, [&] { setBacklog(entry, 0, 0); });
        HttpHeaders headers = callerHeaders("id1");
        headers.back().value = "8000";
        const MonotonicTime start = monotonicNow();
        CHECK(entry.send(headers).status == 200);
        CHECK(arrivals == 1);
        CHECK((monotonicNow() - start >= 600ms) == isOn);
    }
}
