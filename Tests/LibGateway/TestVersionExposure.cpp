#include "TrialFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t seeds = 40;
constexpr std::uint64_t largeSeeds = 8;
/// Part of the requests that a bad version may get that it gets at most, so that a fifth is to spare.
constexpr double usableExposure = 0.8;

TrialScenario plainService()
{
    TrialScenario scenario;
    scenario.name = "plain service";
    return scenario;
}

TrialScenario engines()
{
    TrialScenario scenario;
    scenario.name = "engines with sessions";
    scenario.endpointsPerVersion = 9;
    scenario.slots = 64;
    scenario.requestsPerSecond = 33;
    scenario.serviceTime = 1400ms;
    scenario.slowdownPerRequest = 0.02;
    scenario.hasSessions = true;
    scenario.ownFailureShare = 0.02;
    return scenario;
}

/// The stable endpoints are crowded, so that a candidate with few requests is several times as fast.
TrialScenario crowdedEngines()
{
    TrialScenario scenario = engines();
    scenario.name = "crowded engines of a large fleet";
    scenario.instances = 24;
    scenario.endpointsPerVersion = 60;
    scenario.requestsPerSecond = 400;
    scenario.slowdownPerRequest = 0.08;
    scenario.timeLimit = 11s;
    scenario.exposureShare = 0.0975;
    scenario.reportInterval = 1200ms;
    return scenario;
}

void checkExposure(const TrialScenario &scenario, VersionFault fault, std::uint64_t count)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const TrialOutcome outcome = playTrial(scenario, fault, seed);
        INFO(scenario.name << ", seed " << seed << ": " << outcome.onCandidate << " of " << outcome.requests << " requests, " << outcome.allowed(scenario)
                           << " allowed, " << outcome.tooLate << " too late, completed " << outcome.isCompleted);
        CHECK(outcome.onCandidate <= usableExposure * outcome.allowed(scenario));
        CHECK(outcome.tooLate == 0);
    }
}
} // namespace

TEST_CASE("A version with errors gets few requests", "[exposure]")
{
    // Guards against EXPOSURE: a bad version of a plain service was completed because its time was nearly over.
    checkExposure(plainService(), VersionFault::Errors, seeds);
    checkExposure(engines(), VersionFault::Errors, seeds);
    checkExposure(crowdedEngines(), VersionFault::Errors, largeSeeds);
}

TEST_CASE("A version whose errors begin late gets few requests", "[exposure]")
{
    // Guards against EXPOSURE: answers from before the errors outweighed those that followed.
    checkExposure(plainService(), VersionFault::LateErrors, seeds);
    checkExposure(engines(), VersionFault::LateErrors, seeds);
}

TEST_CASE("A slow version gets few requests even if the stable endpoints are crowded", "[exposure]")
{
    // Guards against EXPOSURE: a slow version on idle endpoints was as fast as the stable one on crowded endpoints.
    checkExposure(plainService(), VersionFault::Slow, seeds);
    checkExposure(engines(), VersionFault::Slow, seeds);
    checkExposure(crowdedEngines(), VersionFault::Slow, largeSeeds);
}

TEST_CASE("A version with errors on one route gets few requests", "[exposure]")
{
    // Guards against EXPOSURE: the failures of one route were compared with those of all routes.
    checkExposure(plainService(), VersionFault::ErrorsOnOneRoute, seeds);
    checkExposure(engines(), VersionFault::ErrorsOnOneRoute, seeds);
}

TEST_CASE("A version of a plain service with errors under load gets few requests", "[exposure]")
{
    // Guards against EXPOSURE: no endpoint of the version was loaded before the last step, after which nothing took it back.
    checkExposure(plainService(), VersionFault::ErrorsUnderLoad, seeds);
}

TEST_CASE("A version of engines with errors under load gets few requests", "[exposure]")
{
    // Guards against EXPOSURE: as above, where no endpoint has half of its slots in use in any step.
    checkExposure(engines(), VersionFault::ErrorsUnderLoad, seeds);
}

TEST_CASE("A sound version is completed within its time limit", "[exposure]")
{
    // Guards against a trial that protects callers from bad versions by taking back good ones.
    const TrialScenario scenarios[] = {plainService(), engines(), crowdedEngines()};
    for (const TrialScenario &scenario : scenarios) {
        std::uint64_t reverted = 0;
        for (std::uint64_t seed = 1; seed <= largeSeeds; ++seed) {
            const TrialOutcome outcome = playTrial(scenario, VersionFault::None, seed);
            INFO(scenario.name << ", seed " << seed << ": " << outcome.onCandidate << " of " << outcome.requests);
            CHECK(outcome.isCompleted);
            reverted += outcome.isReverted ? 1 : 0;
        }
        CHECK(reverted == 0);
    }
}
