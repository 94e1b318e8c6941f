#include "LibGateway/ModelCascade.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
ModelOption option(double gain, double cost, Duration firstOutput, Duration lastOutput)
{
    ModelOption option;
    option.confidenceGain = gain;
    option.relativeCost = cost;
    option.firstOutput = firstOutput;
    option.lastOutput = lastOutput;
    option.promptTime = firstOutput;
    return option;
}

/// Three sizes on idle engines.
std::vector<ModelOption> idleEngines()
{
    return {option(0, 0.1, 100ms, 400ms), option(20, 0.5, 300ms, 900ms), option(70, 1, 900ms, 2500ms)};
}

const CascadeTimes amplyTimed {3s, 3s, 12s};
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

TEST_CASE("A backlog at the engines costs an escalation more than idle ones", "[ladder]")
{
    // Pattern: a burst; each long prompt delays all that wait behind it, and those that arrive until the backlog is gone.
    const std::vector<ModelOption> options = idleEngines();
    const int doubtful = 45;
    REQUIRE(escalation(options, 0, doubtful, amplyTimed));
    CascadeTimes backlog = amplyTimed;
    backlog.meanPromptWait = 5s;
    CHECK_FALSE(escalation(options, 0, doubtful, backlog));
}

TEST_CASE("In a backlog prompts whose parts are cached are escalated first", "[ladder]")
{
    // Pattern: the peak of a wave; engines have time for some of the largest model's prompts only.
    std::vector<ModelOption> options = idleEngines();
    CascadeTimes backlog = amplyTimed;
    backlog.meanPromptWait = 1500ms;
    options[2].promptTime = 1500ms;
    CHECK(escalation(options, 0, 5, backlog) != 2);
    options[2].promptTime = 200ms;
    CHECK(escalation(options, 0, 5, backlog) == 2);
}

TEST_CASE("Without an estimate of time left nothing is escalated", "[ladder]")
{
    CHECK_FALSE(escalation(idleEngines(), 0, 0, {3s, 0s, 0s}));
}

TEST_CASE("An answer that is far too poor skips a model that gains little", "[ladder]")
{
    // Pattern: a middle size that is hardly better than the smallest; each run on it delays the one that helps.
    std::vector<ModelOption> options = idleEngines();
    options[2].firstOutput = 20s;
    options[2].lastOutput = 22s;
    CHECK_FALSE(escalation(options, 0, 5, amplyTimed));
    CHECK(escalation(options, 0, 42, amplyTimed) == 1);
}

TEST_CASE("The gain of a larger model is learned from escalated answers", "[ladder]")
{
    ConfidenceGains gains;
    const double assumed = gains.gain("pool", "small", "large", 2);
    CHECK(assumed > gains.gain("pool", "small", "middle", 1));
    for (int i = 0; i < 100; ++i) {
        gains.record("pool", {"small", 20}, {"large", i % 2 == 0 ? 60 : 80});
    }
    CHECK(gains.gain("pool", "small", "large", 2) == Approx(50).margin(1));
    // Confidence that is cut off at an end says nothing about the difference.
    gains.record("pool", {"small", 0}, {"middle", 90});
    gains.record("pool", {"small", 60}, {"middle", 100});
    CHECK(gains.gain("pool", "small", "middle", 1) == Approx(assumed / 2));
    CHECK(acceptability(50) == Approx(0.5));
    CHECK(acceptability(20) < 0.05);
    CHECK(acceptability(80) > 0.95);
}

TEST_CASE("A long answer is weighed by its chance to finish", "[ladder]")
{
    // Pattern: long answers whose guessed length just fills the time left; a fixed limit kept all of them on the smallest model.
    std::vector<ModelOption> options = idleEngines();
    options[1].lastOutput = 30s;
    options[2].lastOutput = 11s;
    CHECK(escalation(options, 0, 5, amplyTimed) == 2);
    options[2].lastOutput = 16s;
    CHECK_FALSE(escalation(options, 0, 5, amplyTimed));
}
