#include "PlannedWorkRun.h"
#include "SoakSeeds.h"

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
void check(const PlannedWorkRun &run, std::uint64_t seed, const std::vector<Disruption> &disruptions)
{
    const std::vector<RequestRecord> records = run.requests().records();
    const auto answered = std::count_if(records.begin(), records.end(), [](const RequestRecord &record) { return record.end == AnswerEnd::Complete; });
    const std::vector<Loss> losses = run.losses(disruptions);
    const std::vector<RequestRecord> unanswered = findUnanswered(records, disruptions, LossBounds());
    const int served = run.requests().served();
    std::cout << "seed " << seed << ": " << served << " of " << records.size() << " requests served, " << answered << " answered, " << losses.size()
              << " lost, " << unanswered.size() << " passed on from kept connections and unanswered" << std::endl;
    if (const char *folder = std::getenv("GODWITFORK_SOAK_LOGS")) {
        run.keepLogs(std::string(folder) + "/soak-" + std::to_string(seed));
    }
    INFO("seed " << seed);
    for (const std::string &finding : run.requests().broken()) {
        FAIL_CHECK(finding);
    }
    CHECK(losses.empty());
    CHECK(unanswered.size() <= 3);
    // Without endpoints, or without readiness, nothing could be lost.
    CHECK(served * 2 > static_cast<int>(records.size()));
}
} // namespace

// Guards against requests whose connection a stopping instance closes with their bytes unread, where instances share a core.
TEST_CASE("Instances that share a core lose no request around their stop", "[work]")
{
    for (const std::uint64_t seed : soakSeeds({2})) {
        PlannedWorkSettings settings;
        settings.cores = 1;
        settings.busyThreads = 24;
        settings.manners.slow = 0.2;
        PlannedWorkRun run(seed, settings);
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(5s);
            // Two of the three instances of a failure domain, so that the balancer goes on to send to them.
            const int domain = static_cast<int>(run.randomSource()() % 3);
            run.replace(domain);
            run.replace(domain + 3);
            for (int i = 0; i < 8; ++i) {
                co_await run.pause(300ms);
                run.burst(domain, 60, 1s);
                run.burst(domain + 3, 60, 1s);
            }
            co_await run.pause(7s);
        });
        check(run, seed, run.fleet().disruptions());
    }
}

// Guards against the same without load: the process gets no processor time just when its listener closes.
TEST_CASE("An instance that reads late loses no request when its listener closes", "[work]")
{
    for (const std::uint64_t seed : soakSeeds({2})) {
        PlannedWorkSettings settings;
        settings.manners.slow = 0.2;
        PlannedWorkRun run(seed, settings);
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(4s);
            const int domain = static_cast<int>(run.randomSource()() % 3);
            for (const int instance : {domain, domain + 3}) {
                Freeze freeze;
                freeze.at = std::chrono::milliseconds(1400 + run.randomSource()() % 1000);
                freeze.length = std::chrono::milliseconds(300 + run.randomSource()() % 1200);
                run.replace(instance, freeze);
            }
            co_await run.pause(11s);
        });
        check(run, seed, {});
    }
}

// Guards against requests that a stopping instance takes, passes on and cuts at the end of its stop limit.
TEST_CASE("Requests that arrive late in a stop are answered before its end", "[work]")
{
    for (const std::uint64_t seed : soakSeeds({2})) {
        PlannedWorkSettings settings;
        settings.slowSenders = 0.6;
        settings.manners = {.pausing = 0.5, .pauseMin = 1200ms, .pauseMax = 3500ms, .slow = 0.3};
        PlannedWorkRun run(seed, settings);
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(4s);
            const int domain = static_cast<int>(run.randomSource()() % 3);
            run.replace(domain);
            run.replace(domain + 3);
            co_await run.pause(1500ms);
            for (const int instance : {domain, domain + 3}) {
                run.burst(instance, 40, 1s);
            }
            co_await run.pause(10s);
        });
        check(run, seed, {});
    }
}

// Guards against streams that are ended for an endpoint's silence right after SIGHUP or during a stop, though they can't go on elsewhere.
TEST_CASE("The silence of endpoints ends no stream beside a reload or a stop", "[work]")
{
    for (const std::uint64_t seed : soakSeeds({2})) {
        PlannedWorkSettings settings;
        // Either both endpoints fall silent one after the other, so that a stream finds no third one, or most fall silent at once, so that more streams need a
        // retry than the settings of the SIGHUP allow.
        const bool hasTwo = seed % 2 == 0;
        settings.engines = hasTwo ? 2 : 9;
        settings.clients = 150;
        settings.longestSendPause = 500ms;
        PlannedWorkRun run(seed, settings);
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(4s);
            for (std::size_t i = 0; i < (hasTwo ? 1 : 6); ++i) {
                run.endpoints()[i].fallSilent(5s);
            }
            co_await run.pause(2s);
            run.replace(static_cast<int>(run.randomSource()() % 9));
            co_await run.pause(1s);
            for (int instance = 0; instance < settings.instances; ++instance) {
                if (run.fleet().isUp(instance)) {
                    run.fleet().reload(instance, 0);
                }
            }
            co_await run.pause(1300ms);
            if (hasTwo) {
                run.endpoints()[1].fallSilent(5s);
            }
            co_await run.pause(8s);
        });
        check(run, seed, {});
    }
}

namespace
{
/// One piece of planned work or one silence, drawn.
void drawWork(PlannedWorkRun &run, const PlannedWorkSettings &settings)
{
    RandomSource &random = run.randomSource();
    const int instance = static_cast<int>(random() % static_cast<std::uint64_t>(settings.instances));
    const int neighbour = (instance + settings.failureDomains) % settings.instances;
    const int allowance = static_cast<int>(random() % 57);
    const auto reload = [&](int index) {
        if (run.fleet().isUp(index)) {
            run.fleet().reload(index, allowance);
        }
    };
    switch (random() % 8) {
    case 0:
        // Two signals in a row.
        run.replace(instance);
        run.fleet().sendSignal(instance, random() % 2 == 0 ? SIGTERM : SIGHUP);
        run.burst(instance, 20, 3s);
        break;
    case 1:
        run.replace(instance);
        run.replace(neighbour);
        break;
    case 2:
        reload(instance);
        run.replace(instance);
        run.burst(instance, 20, 3s);
        break;
    case 3:
        for (int i = 0; i < settings.instances; ++i) {
            reload(i);
        }
        break;
    case 4:
        reload(instance);
        reload(instance);
        break;
    case 5:
    case 6:
        run.changeConfiguration();
        break;
    default: {
        const std::size_t silent = 1 + random() % 3;
        for (std::size_t i = 0; i < silent; ++i) {
            run.endpoints()[random() % static_cast<std::size_t>(settings.engines)].fallSilent(std::chrono::milliseconds(1200 + random() % 8400));
        }
        break;
    }
    }
}
} // namespace

// Guards against lost requests, and the other promises, under random series of planned work beside slow, silent and leaving endpoints.
TEST_CASE("Random planned work loses no request", "[work]")
{
    for (const std::uint64_t seed : soakSeeds({35})) {
        PlannedWorkSettings settings;
        settings.manners = {
            .pausing = 0.1, .pauseMin = 1200ms, .pauseMax = 8s, .unframed = 0.05, .preempted = 0.05, .slow = 0.1, .closed = 0.02, .limiting = 0.02};
        PlannedWorkRun run(seed, settings);
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(4s);
            for (int i = 0; i < 12; ++i) {
                drawWork(run, settings);
                const Duration between = std::chrono::milliseconds(200 + run.randomSource()() % 2300);
                co_await run.pause(between);
            }
            co_await run.pause(2s);
        });
        check(run, seed, run.fleet().disruptions());
    }
}
