#include "LibGateway/AttemptRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const RetryConditions ample {true, true, 1s};

AttemptOutcome answered(int status, bool notRun, bool isSigned)
{
    AttemptOutcome outcome;
    outcome.end = AttemptEnd::Answered;
    outcome.answer.status = status;
    outcome.answer.notRun = notRun;
    outcome.answer.isSigned = isSigned;
    return outcome;
}

AttemptOutcome failed(AttemptEnd end)
{
    AttemptOutcome outcome;
    outcome.end = end;
    return outcome;
}

NextStep after(RepeatRule rule, int attemptLimit, const AttemptOutcome &outcome, const RetryConditions &conditions)
{
    const RequestProgress progress = recordAttempt({rule, attemptLimit, 0, 0}, outcome);
    return nextStep(progress, outcome, conditions);
}
} // namespace

TEST_CASE("A request that may not be repeated is not sent again after it may have run", "[attempt]")
{
    // An endpoint runs a non-idempotent request and its answer is lost; a retry would run the request twice.
    CHECK(after(RepeatRule::NonIdempotent, 3, failed(AttemptEnd::Lost), ample) == NextStep::Fail);
    CHECK(after(RepeatRule::NonIdempotent, 3, failed(AttemptEnd::TimedOut), ample) == NextStep::Fail);
    CHECK(after(RepeatRule::Stream, 3, failed(AttemptEnd::Lost), ample) == NextStep::Fail);
    CHECK(after(RepeatRule::NonIdempotent, 3, answered(500, false, true), ample) == NextStep::Deliver);
    CHECK(after(RepeatRule::NonIdempotent, 3, answered(200, false, false), ample) == NextStep::Fail);
}

TEST_CASE("A request that did not run is sent to another endpoint whatever its repeat rule", "[attempt]")
{
    CHECK(after(RepeatRule::NonIdempotent, 1, failed(AttemptEnd::NotSent), ample) == NextStep::TryAnother);
    CHECK(after(RepeatRule::NonIdempotent, 1, answered(503, true, false), ample) == NextStep::TryAnother);
    CHECK(after(RepeatRule::NonIdempotent, 1, answered(421, true, false), ample) == NextStep::TryAnother);
}

TEST_CASE("A refusal is only sent if the request did not run", "[attempt]")
{
    const RetryConditions none {false, true, 1s};
    CHECK(after(RepeatRule::Idempotent, 2, answered(503, true, false), none) == NextStep::RefuseNotRun);
    CHECK(after(RepeatRule::Idempotent, 2, failed(AttemptEnd::Lost), none) == NextStep::Fail);
    CHECK(after(RepeatRule::Idempotent, 2, failed(AttemptEnd::TimedOut), {true, true, 0s}) == NextStep::FailLate);
    CHECK(stepStatus(NextStep::RefuseNotRun) == 503);
    CHECK(stepStatus(NextStep::Fail) == 502);
}

TEST_CASE("A request that may be repeated is retried once after an error, and a second error is delivered", "[attempt]")
{
    const AttemptOutcome error = answered(500, false, true);
    RequestProgress progress = recordAttempt({RepeatRule::Idempotent, 2, 0, 0}, error);
    CHECK(nextStep(progress, error, ample) == NextStep::TryAnother);
    progress = recordAttempt(progress, error);
    CHECK(nextStep(progress, error, ample) == NextStep::Deliver);
    CHECK(nextStep(progress, answered(200, false, true), ample) == NextStep::Deliver);
}

TEST_CASE("Without a retry budget nothing is sent again", "[attempt]")
{
    CHECK(after(RepeatRule::Idempotent, 3, failed(AttemptEnd::Lost), {true, false, 1s}) == NextStep::Fail);
    CHECK_FALSE(mayResume({RepeatRule::ResumableStream, 3, 1, 1}, {true, false, 1s}));
    CHECK(mayResume({RepeatRule::ResumableStream, 3, 1, 1}, ample));
    CHECK_FALSE(mayResume({RepeatRule::Stream, 3, 1, 1}, ample));
    CHECK_FALSE(mayResume({RepeatRule::ResumableStream, 1, 1, 1}, ample));
}

TEST_CASE("The first attempt of an idempotent request reserves time for a second one", "[attempt]")
{
    CHECK(attemptTimeLimit({RepeatRule::Idempotent, 2, 0, 0}, 1s) < 1s);
    CHECK(attemptTimeLimit({RepeatRule::Idempotent, 2, 1, 1}, 1s) == 1s);
    CHECK(attemptTimeLimit({RepeatRule::NonIdempotent, 1, 0, 0}, 1s) == 1s);
}

TEST_CASE("A non-idempotent request runs at most once, and a request refused as not run has not run", "[attempt]")
{
    rc::check([] {
        const auto rule = *rc::gen::element(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream);
        const int attemptLimit = *rc::gen::inRange(1, 4);
        RequestProgress progress {rule, attemptLimit, 0, 0};
        int runs = 0;
        for (int i = 0; i < 20; ++i) {
            AttemptOutcome outcome;
            outcome.end = *rc::gen::element(AttemptEnd::Answered, AttemptEnd::NotSent, AttemptEnd::Lost, AttemptEnd::TimedOut);
            outcome.answer.status = *rc::gen::element(200, 400, 421, 500, 503);
            outcome.answer.notRun = outcome.answer.status == 421 || (outcome.answer.status == 503 && *rc::gen::arbitrary<bool>());
            outcome.answer.isSigned = *rc::gen::arbitrary<bool>();
            const bool ran = outcome.end != AttemptEnd::NotSent && !(outcome.end == AttemptEnd::Answered && outcome.answer.notRun);
            runs += ran ? 1 : 0;
            progress = recordAttempt(progress, outcome);
            const RetryConditions conditions {*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), std::chrono::milliseconds(*rc::gen::inRange(0, 2000))};
            const NextStep step = nextStep(progress, outcome, conditions);
            RC_ASSERT(step != NextStep::RefuseNotRun || runs == 0);
            RC_ASSERT(runs <= (mayRepeat(rule) ? attemptLimit : 1));
            if (step != NextStep::TryAnother) {
                return;
            }
        }
    });
}

TEST_CASE("An attempt is left only if the request can go on elsewhere once it counts as having run", "[attempt]")
{
    // Guards against LOST: an attempt was ended for its endpoint's silence although no other one could follow.
    const auto obstacle = [](RepeatRule rule, int attemptLimit, int possibleRuns, const RetryConditions &conditions) {
        return obstacleToLeaving({rule, attemptLimit, possibleRuns, possibleRuns}, conditions);
    };
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 0, ample) == RetryObstacle::None);
    CHECK(obstacle(RepeatRule::Idempotent, 2, 0, ample) == RetryObstacle::None);
    CHECK(obstacle(RepeatRule::Stream, 2, 0, ample) == RetryObstacle::RepeatRule);
    CHECK(obstacle(RepeatRule::NonIdempotent, 2, 0, ample) == RetryObstacle::RepeatRule);
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 1, ample) == RetryObstacle::AttemptLimit);
    CHECK(obstacle(RepeatRule::ResumableStream, 1, 0, ample) == RetryObstacle::AttemptLimit);
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 0, {false, true, 1s}) == RetryObstacle::Endpoint);
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 0, {true, false, 1s}) == RetryObstacle::Budget);
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 0, {true, true, 10ms}) == RetryObstacle::Time);
    CHECK(obstacle(RepeatRule::ResumableStream, 2, 0, {true, true, 1s, true}) == RetryObstacle::PromptSuspect);
}
