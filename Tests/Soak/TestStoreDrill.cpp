#include "PlannedWorkRun.h"
#include "SoakSeeds.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace Asio = boost::asio;

namespace
{
constexpr const char *revokedKey = "retired";
/// Bounds of the platform: of a configuration, and what an unstable store adds to it.
constexpr Duration configurationLimit = 2s;
constexpr Duration maxSkew = 5s;
constexpr Duration checkInterval = 200ms;
constexpr int unauthorized = 401;

Duration drawTime(PlannedWorkRun &run, Duration longest)
{
    return std::chrono::milliseconds(run.randomSource()() % static_cast<std::uint64_t>(toMilliseconds(longest)));
}

/// The store is away for a while, returns from a copy, and its owners write again what it lost.
Asio::awaitable<void> restoreStore(PlannedWorkRun &run)
{
    run.platformStore().copy();
    // Instances read the revisions that the new era gives out again.
    run.registerEndpoints();
    const Duration age = 1500ms + drawTime(run, 1500ms);
    co_await run.pause(age);
    run.platformStore().setMode(run.randomSource()() % 2 == 0 ? StoreMode::Silent : StoreMode::Busy);
    const Duration away = drawTime(run, 3s);
    co_await run.pause(away);
    run.platformStore().restore();
    run.platformStore().setMode(StoreMode::Up);
}

/// Returns the instances that do not answer a request with the key by 401, of those that are not being replaced.
Asio::awaitable<std::set<int>> findInstancesAdmitting(PlannedWorkRun &run, int instances)
{
    std::set<int> admitting;
    for (int instance = 0; instance < instances; ++instance) {
        const bool isUp = run.fleet().isUp(instance);
        const int status = co_await run.sendWith(revokedKey, instance);
        if (isUp && status != unauthorized) {
            admitting.insert(instance);
        }
    }
    co_return admitting;
}
} // namespace

// Guards against CONFIG in a fleet of real processes with hubs: after the store's return from a copy, a key that was taken away is still served, also beside an
// instance that is frozen or replaced meanwhile, and after a second return.
TEST_CASE("Every instance refuses a key that is taken away after the store's return from a copy", "[drill]")
{
    for (const std::uint64_t seed : soakSeeds({55})) {
        PlannedWorkSettings settings;
        PlannedWorkRun run(seed, settings);
        run.setKeys({"key", revokedKey});
        std::set<int> admittingBefore;
        std::set<int> admitting;
        Duration elapsed {};
        run.play([&]() -> Asio::awaitable<void> {
            co_await run.pause(4s);
            admittingBefore = co_await findInstancesAdmitting(run, settings.instances);
            const int frozen = static_cast<int>(run.randomSource()() % static_cast<std::uint64_t>(settings.instances));
            const int replaced = static_cast<int>(run.randomSource()() % static_cast<std::uint64_t>(settings.instances));
            if (frozen != replaced) {
                run.replace(replaced);
            }
            co_await restoreStore(run);
            if (run.randomSource()() % 2 == 0) {
                run.registerEndpoints();
                co_await restoreStore(run);
            }
            run.fleet().sendSignal(frozen, SIGSTOP);
            run.setKeys({"key"});
            const MonotonicTime start = monotonicNow();
            // The new era gives out the revisions of the former one again.
            run.registerEndpoints();
            run.registerEndpoints();
            const Duration freeze = drawTime(run, 2s);
            co_await run.pause(freeze);
            run.fleet().sendSignal(frozen, SIGCONT);
            do {
                co_await run.pause(checkInterval);
                admitting = co_await findInstancesAdmitting(run, settings.instances);
                elapsed = monotonicNow() - start;
            } while (!admitting.empty() && elapsed < configurationLimit + maxSkew);
        });
        std::cout << "seed " << seed << ": the key was refused by all but " << admitting.size() << " instances after " << toMilliseconds(elapsed) << " ms, "
                  << run.requests().served() << " of " << run.requests().records().size() << " requests served" << std::endl;
        if (const char *folder = std::getenv("GODWITFORK_SOAK_LOGS")) {
            run.keepLogs(std::string(folder) + "/drill-" + std::to_string(seed));
        }
        INFO("seed " << seed);
        CHECK(static_cast<int>(admittingBefore.size()) == settings.instances);
        CHECK(admitting.empty());
        for (const std::string &finding : run.requests().broken()) {
            FAIL_CHECK(finding);
        }
        CHECK(run.requests().served() * 2 > static_cast<int>(run.requests().records().size()));
    }
}
