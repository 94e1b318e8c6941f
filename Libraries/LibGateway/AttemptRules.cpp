#include "LibGateway/AttemptRules.h"

namespace Godwitfork
{

namespace
{
/// Attempts are not started with less time left: connecting, sending the request and receiving the answer take longer.
constexpr Duration minAttemptTime = std::chrono::milliseconds(20);
/// Share of the remaining time that an attempt may take if another one can follow, 0 to 1.
constexpr double firstAttemptShare = 0.6;

constexpr int minServerErrorStatus = 500;

bool isServerError(const AnswerMetadata &answer)
{
    return answer.status >= minServerErrorStatus;
}

bool canRetry(const RequestProgress &progress, const RetryConditions &conditions)
{
    return retryObstacle(progress, conditions) == RetryObstacle::None;
}
} // namespace

const char *attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::TimedOut:
        return "timed_out";
    }
    return "lost";
}

const char *nextStepName(NextStep step)
{
    switch (step) {
    case NextStep::Deliver:
        return "deliver";
    case NextStep::TryAnother:
        return "retry";
    case NextStep::RefuseNotRun:
        return "refuse";
    case NextStep::Fail:
        return "fail";
    case NextStep::FailLate:
        return "fail_late";
    }
    return "fail";
}

const char *retryObstacleName(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::RepeatRule:
        return "repeat_rule";
    case RetryObstacle::AttemptLimit:
        return "attempt_limit";
    case RetryObstacle::Endpoint:
        return "endpoint";
    case RetryObstacle::Budget:
        return "budget";
    case RetryObstacle::Time:
        return "time";
    case RetryObstacle::PromptSuspect:
        return "prompt_suspect";
    }
    return "none";
}

bool mayHaveRun(const AttemptOutcome &outcome)
{
    switch (outcome.end) {
    case AttemptEnd::NotSent:
        return false;
    case AttemptEnd::Answered:
        return !outcome.answer.notRun;
    case AttemptEnd::Lost:
    case AttemptEnd::TimedOut:
        return true;
    }
    return true;
}

bool isSuccess(const AnswerMetadata &answer)
{
    return answer.status >= 200 && answer.status < 300 && answer.isSigned;
}

RequestProgress recordAttempt(RequestProgress progress, const AttemptOutcome &outcome)
{
    if (outcome.end != AttemptEnd::NotSent) {
        ++progress.arrivals;
    }
    if (mayHaveRun(outcome)) {
        ++progress.possibleRuns;
    }
    return progress;
}

RetryObstacle retryObstacle(const RequestProgress &progress, const RetryConditions &conditions)
{
    if (progress.possibleRuns > 0 && !mayRepeat(progress.repeatRule)) {
        return RetryObstacle::RepeatRule;
    }
    if (progress.possibleRuns > 0 && progress.possibleRuns >= progress.attemptLimit) {
        return RetryObstacle::AttemptLimit;
    }
    if (!conditions.hasEndpoint) {
        return RetryObstacle::Endpoint;
    }
    if (!conditions.hasBudget) {
        return RetryObstacle::Budget;
    }
    if (conditions.remaining < minAttemptTime) {
        return RetryObstacle::Time;
    }
    return conditions.isPromptSuspect ? RetryObstacle::PromptSuspect : RetryObstacle::None;
}

RetryObstacle obstacleToLeaving(const RequestProgress &progress, const RetryConditions &conditions)
{
    AttemptOutcome outcome;
    outcome.end = AttemptEnd::TimedOut;
    return retryObstacle(recordAttempt(progress, outcome), conditions);
}

NextStep nextStep(const RequestProgress &progress, const AttemptOutcome &outcome, const RetryConditions &conditions)
{
    const bool isAnswer = outcome.end == AttemptEnd::Answered && !outcome.answer.notRun;
    // A 2xx answer without a signature does not come from the addressed endpoint. A 5xx answer is not final, since another endpoint may succeed.
    const bool isFinal = isAnswer && (isSuccess(outcome.answer) || (outcome.answer.status >= 300 && !isServerError(outcome.answer)));
    if (isFinal) {
        return NextStep::Deliver;
    }
    if (canRetry(progress, conditions)) {
        return NextStep::TryAnother;
    }
    if (isAnswer && isServerError(outcome.answer)) {
        return NextStep::Deliver;
    }
    if (conditions.remaining < minAttemptTime) {
        return progress.possibleRuns == 0 ? NextStep::RefuseNotRun : NextStep::FailLate;
    }
    return progress.possibleRuns == 0 ? NextStep::RefuseNotRun : NextStep::Fail;
}

bool mayResume(const RequestProgress &progress, const RetryConditions &conditions)
{
    return progress.repeatRule == RepeatRule::ResumableStream && canRetry(progress, conditions);
}

Duration attemptTimeLimit(const RequestProgress &progress, Duration remaining)
{
    const bool canFollow = progress.repeatRule == RepeatRule::Idempotent && progress.possibleRuns + 1 < progress.attemptLimit;
    return canFollow ? std::chrono::duration_cast<Duration>(remaining * firstAttemptShare) : remaining;
}

int stepStatus(NextStep step)
{
    switch (step) {
    case NextStep::RefuseNotRun:
        return 503;
    case NextStep::Fail:
        return 502;
    case NextStep::FailLate:
        return 504;
    case NextStep::Deliver:
    case NextStep::TryAnother:
        return 0;
    }
    return 0;
}

} // namespace Godwitfork
