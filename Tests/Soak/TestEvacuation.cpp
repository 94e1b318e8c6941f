#include "PlannedWorkRun.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace Asio = boost::asio;

namespace
{
constexpr std::uint64_t seed = 7;
const MonotonicTime start(1000s);

RequestRecord sentBy(int instance)
{
    RequestRecord record;
    record.id = "r";
    record.instance = instance;
    return record;
}

std::size_t late(Duration at, std::optional<MonotonicTime> end, const std::vector<Disruption> &disruptions = {})
{
    return findLateArrivals({{"r", "e1", "d1", start + at}}, {{"d1", start, end}}, {sentBy(1)}, disruptions, EvacuationBounds()).size();
}
} // namespace

TEST_CASE("An arrival at an evacuated failure domain is late after the limit and before the removal, unless its instance was disturbed", "[evacuation]")
{
    CHECK(late(5s, std::nullopt) == 0);
    CHECK(late(5001ms, std::nullopt) == 1);
    CHECK(late(-1s, std::nullopt) == 0);
    CHECK(late(8s, start + 8s) == 0);
    CHECK(late(8s, start + 9s) == 1);
    CHECK(late(8s, std::nullopt, {{1, start, start + 4s}}) == 0);
    CHECK(late(8s, std::nullopt, {{1, start, start + 3999ms}}) == 1);
    CHECK(late(8s, std::nullopt, {{2, start, start + 9s}}) == 1);
    CHECK(findLateArrivals({{"r", "e1", "d2", start + 8s}}, {{"d1", start, std::nullopt}}, {sentBy(1)}, {}, EvacuationBounds()).empty());
}

// Guards against EVAC in a fleet of real processes: requests that reach an evacuated failure domain, also while an instance of each failure domain, which may
// be its hub, is frozen when the evacuation is written, and from an instance that starts during the evacuation; and against endpoints that get nothing
// afterwards.
TEST_CASE("An evacuated failure domain gets no requests while instances freeze and start, and gets them again afterwards", "[work]")
{
    PlannedWorkSettings settings;
    settings.evacuationLimit = EvacuationBounds().limit;
    PlannedWorkRun run(seed, settings);
    std::vector<Disruption> frozen;
    MonotonicTime ended;
    run.play([&]() -> Asio::awaitable<void> {
        co_await run.pause(4s);
        const MonotonicTime from = monotonicNow();
        for (int instance = 0; instance < settings.failureDomains; ++instance) {
            run.fleet().sendSignal(instance, SIGSTOP);
        }
        run.evacuate("d1");
        run.evacuate("nowhere");
        co_await run.pause(3s);
        for (int instance = 0; instance < settings.failureDomains; ++instance) {
            run.fleet().sendSignal(instance, SIGCONT);
            frozen.push_back({instance, from, monotonicNow()});
        }
        co_await run.pause(1s);
        run.replace(settings.instances - 1);
        co_await run.pause(13s);
        run.endEvacuation("d1");
        ended = monotonicNow();
        co_await run.pause(6s);
    });
    const std::vector<Arrival> arrivals = run.arrivals();
    const std::vector<Arrival> lateArrivals = run.lateArrivals(frozen);
    for (const Arrival &arrival : lateArrivals) {
        FAIL_CHECK(arrival.request << " at " << arrival.endpoint);
    }
    const auto isReturn = [&](const Arrival &arrival) { return arrival.failureDomain == "d1" && arrival.at > ended; };
    const auto returned = std::count_if(arrivals.begin(), arrivals.end(), isReturn);
    const std::size_t sent = run.requests().records().size();
    std::cout << "evacuation: " << run.requests().served() << " of " << sent << " requests served, " << lateArrivals.size() << " late arrivals, " << returned
              << " arrivals after the return" << std::endl;
    if (const char *folder = std::getenv("GODWITFORK_SOAK_LOGS")) {
        run.keepLogs(std::string(folder) + "/evacuation");
    }
    for (const std::string &finding : run.requests().broken()) {
        FAIL_CHECK(finding);
    }
    CHECK(returned > 0);
    CHECK(run.requests().served() * 2 > static_cast<int>(sent));
}
