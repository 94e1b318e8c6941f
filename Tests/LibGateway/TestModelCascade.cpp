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

/// Options of three model sizes on idle engines.
std::vector<ModelOption> idleEngines()
{
    return {option(0, 0.1, 100ms, 400ms), option(20, 0.5, 300ms, 900ms), option(70, 1, 900ms, 2500ms)};
}

const CascadeTimes ampleTimes {3s, 3s, 12s};
} // namespace

TEST_CASE("A request at idle engines starts on the smallest model", "[cascade]")
{
    // The pool saturates if the largest model reads every prompt.
    CHECK(firstModel(idleEngines(), ampleTimes) == 0);
}

TEST_CASE("A model that cannot finish in time is not started", "[cascade]")
{
    std::vector<ModelOption> options = idleEngines();
    options[0].lastOutput = 20s;
    CHECK(firstModel(options, ampleTimes) == 1);
    for (ModelOption &slow : options) {
        slow.lastOutput = 20s;
    }
    CHECK(firstModel(options, ampleTimes) == 0);
}

TEST_CASE("An answer with high confidence is delivered and one with low confidence is escalated", "[cascade]")
{
    CHECK_FALSE(escalation(idleEngines(), 0, 95, ampleTimes));
    CHECK(escalation(idleEngines(), 0, 10, ampleTimes) == 2);
    CHECK_FALSE(escalation(idleEngines(), 2, 10, ampleTimes));
}

TEST_CASE("A request is not escalated to a model whose queue exceeds the latency objective", "[cascade]")
{
    // The load jumps, and the largest model's queue takes longer than the latency objective.
    std::vector<ModelOption> options = idleEngines();
    options[2].firstOutput = 9s;
    options[2].lastOutput = 15s;
    options[1].firstOutput = 4s;
    CHECK_FALSE(escalation(options, 0, 60, ampleTimes));
    CHECK(escalation(options, 0, 10, ampleTimes) != 2);
}

TEST_CASE("A backlog at the engines prevents an escalation that idle engines allow", "[cascade]")
{
    // In a burst, each long prompt delays all requests queued behind it and those that arrive before the backlog is gone.
    const std::vector<ModelOption> options = idleEngines();
    const int doubtful = 45;
    REQUIRE(escalation(options, 0, doubtful, ampleTimes));
    CascadeTimes backlog = ampleTimes;
    backlog.meanPromptWait = 5s;
    CHECK_FALSE(escalation(options, 0, doubtful, backlog));
}

TEST_CASE("In a backlog a prompt with a cached prefix is escalated and an uncached one is not", "[cascade]")
{
    // At a load peak, the engines have time for only some of the prompts of the largest model.
    std::vector<ModelOption> options = idleEngines();
    CascadeTimes backlog = ampleTimes;
    backlog.meanPromptWait = 1500ms;
    options[2].promptTime = 1500ms;
    CHECK(escalation(options, 0, 5, backlog) != 2);
    options[2].promptTime = 200ms;
    CHECK(escalation(options, 0, 5, backlog) == 2);
}

TEST_CASE("Without time left nothing is escalated", "[cascade]")
{
    CHECK_FALSE(escalation(idleEngines(), 0, 0, {3s, 0s, 0s}));
}

TEST_CASE("An answer with very low confidence is not escalated to a model with a small gain", "[cascade]")
{
    // The middle model is hardly better than the smallest one; each run on it delays the run on the largest model.
    std::vector<ModelOption> options = idleEngines();
    options[2].firstOutput = 20s;
    options[2].lastOutput = 22s;
    CHECK_FALSE(escalation(options, 0, 5, ampleTimes));
    CHECK(escalation(options, 0, 42, ampleTimes) == 1);
}

TEST_CASE("The confidence gain of a larger model is estimated from escalated answers", "[cascade]")
{
    ConfidenceGains gains;
    const double assumed = gains.gain("pool", "small", "large", 2);
    CHECK(assumed > gains.gain("pool", "small", "middle", 1));
    for (int i = 0; i < 100; ++i) {
        gains.record("pool", {"small", 20}, {"large", i % 2 == 0 ? 60 : 80});
    }
    CHECK(gains.gain("pool", "small", "large", 2) == Approx(50).margin(1));
    // Confidence that is cut off at 0 or 100 gives no estimate of the difference.
    gains.record("pool", {"small", 0}, {"middle", 90});
    gains.record("pool", {"small", 60}, {"middle", 100});
    CHECK(gains.gain("pool", "small", "middle", 1) == Approx(assumed / 2));
    CHECK(acceptanceProbability(50) == Approx(0.5));
    CHECK(acceptanceProbability(20) < 0.05);
    CHECK(acceptanceProbability(80) > 0.95);
}

TEST_CASE("An escalation is weighed by the probability that its answer completes in time", "[cascade]")
{
    // Long answers whose estimated time just fills the remaining time; a fixed limit kept all of them on the smallest model.
    std::vector<ModelOption> options = idleEngines();
    options[1].lastOutput = 30s;
    options[2].lastOutput = 11s;
    CHECK(escalation(options, 0, 5, ampleTimes) == 2);
    options[2].lastOutput = 16s;
    CHECK_FALSE(escalation(options, 0, 5, ampleTimes));
}
