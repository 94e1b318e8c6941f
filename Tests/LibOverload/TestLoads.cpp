#include "QueuePlay.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr int seeds = 6;
/// No kind, account, size class or session may be served less often than this, in relation to all requests.
constexpr double leastRelativeShare = 0.25;
/// Part by which admission may lower the served share or the value: the spread of plays of the same load.
constexpr double tolerance = 0.01;
/// Smaller groups say nothing about the share that is served.
constexpr int minGroup = 20;

struct Comparison {
    PlayOutcome with;
    PlayOutcome without;
};

void add(PlayCounts &total, const PlayCounts &counts)
{
    total.all += counts.all;
    total.onTime += counts.onTime;
    total.late += counts.late;
    total.refused += counts.refused;
    total.failed += counts.failed;
    total.value += counts.value;
}

PlayOutcome playAll(PlayScenario scenario, bool hasAdmission)
{
    scenario.hasAdmission = hasAdmission;
    PlayOutcome sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        const PlayOutcome outcome = play(scenario, static_cast<std::uint64_t>(seed));
        add(sum.total, outcome.total);
        for (const auto &[name, counts] : outcome.byKind) {
            add(sum.byKind[name], counts);
        }
        for (const auto &[name, counts] : outcome.byGroup) {
            add(sum.byGroup[name], counts);
        }
        sum.refusals += outcome.refusals;
        sum.idleRefusals += outcome.idleRefusals;
        sum.mostTokens = std::max(sum.mostTokens, outcome.mostTokens);
        sum.requestsLostInCrashes += outcome.requestsLostInCrashes;
        sum.jain += outcome.jain / seeds;
    }
    return sum;
}

Comparison compare(const PlayScenario &scenario)
{
    return {playAll(scenario, true), playAll(scenario, false)};
}

double servedShare(const PlayCounts &counts)
{
    return static_cast<double>(counts.onTime + counts.late) / std::max(1, counts.all);
}

void print(const std::string &name, const PlayCounts &counts, const PlayOutcome &outcome)
{
    std::printf("  %-22s %6d  served %6.2f%%  on time %5.1f%%  late %5.1f%%  refused %5.2f%%  failed %5.2f%%  value %8.1f",
                name.c_str(),
                counts.all,
                100.0 * servedShare(counts),
                100.0 * counts.onTime / counts.all,
                100.0 * counts.late / counts.all,
                100.0 * counts.refused / counts.all,
                100.0 * counts.failed / counts.all,
                counts.value);
    if (&counts == &outcome.total) {
        std::printf("  refusals %d  jain %.3f  most tokens %ld  lost %d",
                    outcome.refusals,
                    outcome.jain,
                    static_cast<long>(outcome.mostTokens),
                    outcome.requestsLostInCrashes);
    }
    std::printf("\n");
}

void print(const std::string &name, const PlayOutcome &outcome)
{
    print(name, outcome.total, outcome);
    for (const auto &[kind, counts] : outcome.byKind) {
        print("  " + kind, counts, outcome);
    }
}

/// One load on both deployments.
std::vector<PlayScenario> onBoth(const std::string &name, void (*change)(PlayScenario &))
{
    std::vector<PlayScenario> list(2);
    list[0].name = name + ", plans";
    list[0].kinds = planKinds();
    list[0].waveAmplitude = 0.27;
    list[0].wavePeriod = 11s;
    list[1].name = name + ", diagnoses";
    list[1].kinds = diagnosisKinds();
    list[1].waveAmplitude = 0.55;
    list[1].wavePeriod = 17s;
    list[1].slowEngines = 4;
    for (PlayScenario &scenario : list) {
        change(scenario);
    }
    return list;
}

/// Plays a load with and without admission, prints both and checks what holds for every load.
std::vector<Comparison> check(const std::vector<PlayScenario> &list)
{
    std::vector<Comparison> results;
    for (const PlayScenario &scenario : list) {
        const Comparison result = compare(scenario);
        INFO(scenario.name);
        std::printf("%s\n", scenario.name.c_str());
        print("without admission", result.without);
        print("with admission", result.with);
        CHECK(result.with.idleRefusals == 0);
        CHECK(servedShare(result.with.total) >= servedShare(result.without.total) - tolerance);
        CHECK(result.with.total.value >= result.without.total.value * (1 - tolerance));
        for (const auto &groups : {result.with.byKind, result.with.byGroup}) {
            for (const auto &[name, counts] : groups) {
                INFO(name);
                CHECK((counts.all < minGroup || servedShare(counts) >= leastRelativeShare * servedShare(result.with.total)));
            }
        }
        results.push_back(result);
    }
    return results;
}
} // namespace

TEST_CASE("Peak of a load wave", "[loads]")
{
    check(onBoth("peak of a load wave", [](PlayScenario &scenario) { scenario.utilisation = 0.95; }));
}

TEST_CASE("Burst of one kind", "[loads]")
{
    // Guards against notes of 2 s and drafts of 3 s that are late behind a burst of plans, which have 8 s.
    const auto results = check(onBoth("burst of one kind", [](PlayScenario &scenario) {
        scenario.burstKind = 2;
        scenario.burstFactor = 2.5;
        scenario.burstLength = 6s;
    }));
    CHECK(results[0].with.byKind.at("note").onTime > results[0].without.byKind.at("note").onTime);
    CHECK(results[0].with.byKind.at("draft").onTime > results[0].without.byKind.at("draft").onTime);
}

TEST_CASE("Hot account", "[loads]")
{
    check(onBoth("hot account", [](PlayScenario &scenario) {
        scenario.utilisation = 0.7;
        scenario.hotFactor = 5;
    }));
}

TEST_CASE("Callers that repeat at once", "[loads]")
{
    check(onBoth("callers that repeat at once", [](PlayScenario &scenario) {
        scenario.utilisation = 1.1;
        scenario.habit = CallerHabit::RepeatAtOnce;
    }));
}

TEST_CASE("Callers that give up", "[loads]")
{
    // Callers leave that have no output after one and a half times their objective.
    check(onBoth("callers that give up", [](PlayScenario &scenario) {
        scenario.utilisation = 1.1;
        scenario.habit = CallerHabit::GiveUp;
    }));
}

TEST_CASE("Endpoints lost at a load peak", "[loads]")
{
    check(onBoth("endpoints lost at a load peak", [](PlayScenario &scenario) { scenario.lostEngines = 4; }));
}
