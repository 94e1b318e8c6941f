#include "LibGateway/ModelLadder.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
ModelOption option(double quality, double cost, Duration firstOutput, Duration lastOutput)
{
    ModelOption option;
    option.quality = quality;
    option.relativeCost = cost;
    option.firstOutput = firstOutput;
    option.lastOutput = lastOutput;
    option.promptTime = firstOutput;
    return option;
}

/// Three sizes on idle engines.
std::vector<ModelOption> idleEngines()
{
    return {option(0.5, 0.1, 100ms, 400ms), option(0.6, 0.5, 300ms, 900ms), option(1, 1, 900ms, 2500ms)};
}

const LadderTimes amplyTimed {3s, 3s, 12s};
} // namespace

TEST_CASE("A calm pool starts on the smallest model", "[ladder]")
{
    // Guards against a pool that saturates because every prompt is read by the largest model.
    CHECK(firstModel(idleEngines(), amplyTimed) == 0);
}

TEST_CASE("A model that cannot finish in time is not started", "[ladder]")
{
    std::vector<ModelOption> options = idleEngines();
    options[0].lastOutput = 20s;
    CHECK(firstModel(options, amplyTimed) == 1);
    for (ModelOption &slow : options) {
        slow.lastOutput = 20s;
    }
    CHECK(firstModel(options, amplyTimed) == 0);
}

TEST_CASE("A confident answer is delivered and a doubtful one escalated", "[ladder]")
{
    CHECK_FALSE(escalation(idleEngines(), 0, 95, amplyTimed));
    CHECK(escalation(idleEngines(), 0, 10, amplyTimed) == 2);
    CHECK_FALSE(escalation(idleEngines(), 2, 10, amplyTimed));
}

TEST_CASE("A peak of long prompts keeps smaller models' answers", "[ladder]")
{
    // Pattern: the traffic jumps, and the largest model's queue is longer than the objective.
    std::vector<ModelOption> options = idleEngines();
    options[2].firstOutput = 9s;
    options[2].lastOutput = 15s;
    options[1].firstOutput = 4s;
    CHECK_FALSE(escalation(options, 0, 60, amplyTimed));
    CHECK(escalation(options, 0, 10, amplyTimed) != 2);
}

TEST_CASE("A crowded engine costs an escalation more than an idle one", "[ladder]")
{
    // Pattern: a burst; a long prompt delays every stream that runs beside it.
    std::vector<ModelOption> options = idleEngines();
    const int doubtful = 45;
    REQUIRE(escalation(options, 0, doubtful, amplyTimed) == 2);
    options[2].requestsBeside = 30;
    options[1].requestsBeside = 30;
    CHECK_FALSE(escalation(options, 0, doubtful, amplyTimed));
}

TEST_CASE("Without an estimate of time left nothing is escalated", "[ladder]")
{
    CHECK_FALSE(escalation(idleEngines(), 0, 0, {3s, 0s, 0s}));
}

TEST_CASE("Quality is learned from reported confidence", "[ladder]")
{
    ConfidenceEstimates estimates;
    CHECK(estimates.quality("pool", "small", 0.3) == Approx(0.3));
    for (int i = 0; i < 500; ++i) {
        estimates.record("pool", "small", i % 2 == 0 ? 0 : 100);
    }
    CHECK(estimates.quality("pool", "small", 0.3) == Approx(0.5).margin(0.02));
    CHECK(acceptability(50) == Approx(0.5));
    CHECK(acceptability(0) < 0.05);
    CHECK(acceptability(100) > 0.95);
}
