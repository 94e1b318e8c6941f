#pragma once

#include "LibGateway/GatewayRequest.h"
#include "LibGateway/RouteConfiguration.h"

namespace Godwitfork
{

enum class AttemptEnd {
    /// The header of the endpoint's answer was received completely.
    Answered,
    /// No byte of the request was sent to the endpoint.
    NotSent,
    /// The request was sent; the connection failed or the answer was malformed or missing.
    Lost,
    /// The request was sent and not answered within the attempt's time limit.
    TimedOut,
};

const char *attemptEndName(AttemptEnd end);

struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotSent;
    /// Status and headers of the answer; valid only if `end` is `Answered`.
    AnswerMetadata answer;
    /// Whether the connection was closed or reset before the answer was complete.
    bool isConnectionLost = false;
    /// Whether this instance ended the attempt because it could not hold the answer; no evidence of the endpoint's health.
    bool isMemoryShort = false;

    auto operator<=>(const AttemptOutcome &) const = default;
};

/// Counts the attempts of one request so far.
struct RequestProgress {
    RepeatRule repeatRule = RepeatRule::NonIdempotent;
    int attemptLimit = 1;
    /// Number of attempts that reached an endpoint, whatever it answered.
    int arrivals = 0;
    /// Number of attempts that an endpoint may have run.
    int possibleRuns = 0;

    auto operator<=>(const RequestProgress &) const = default;
};

/// Conditions for another attempt: an endpoint that was not tried yet, a retry budget, time until the deadline, and a prompt under which
/// endpoints do not crash.
struct RetryConditions {
    bool hasEndpoint = false;
    bool hasBudget = false;
    Duration remaining = Duration::zero();
    bool isPromptSuspect = false;

    auto operator<=>(const RetryConditions &) const = default;
};

/// First condition that keeps a request from being sent to another endpoint.
enum class RetryObstacle { None, RepeatRule, AttemptLimit, Endpoint, Budget, Time, PromptSuspect };

const char *retryObstacleName(RetryObstacle obstacle);

enum class NextStep {
    /// Pass the endpoint's answer on to the caller.
    Deliver,
    TryAnother,
    /// Answer with 503: no endpoint ran the request or will run it.
    RefuseNotRun,
    /// Answer with 502: an endpoint may have run the request.
    Fail,
    /// Answer with 504: the deadline passed, and an endpoint may have run the request.
    FailLate,
};

const char *nextStepName(NextStep step);

/// Whether the endpoint may have run the request of this attempt.
bool mayHaveRun(const AttemptOutcome &outcome);
/// Whether the answer has a 2xx status and the signature of the endpoint.
bool isSuccess(const AnswerMetadata &answer);

RequestProgress recordAttempt(RequestProgress progress, const AttemptOutcome &outcome);

/// What keeps the request from being sent to another endpoint; `progress` already includes the attempts made.
RetryObstacle retryObstacle(const RequestProgress &progress, const RetryConditions &conditions);
/// What would keep the request from going on at another endpoint if the attempt in progress, which `progress` does not include, ended now
/// after it may have run.
RetryObstacle obstacleToLeaving(const RequestProgress &progress, const RetryConditions &conditions);

/// Decides what follows an attempt; `progress` already includes that attempt.
NextStep nextStep(const RequestProgress &progress, const AttemptOutcome &outcome, const RetryConditions &conditions);

/// Whether a stream that broke off can be resumed at another endpoint.
bool mayResume(const RequestProgress &progress, const RetryConditions &conditions);

/// Time after which the next attempt is left if another one can follow then. An idempotent request that may be attempted again reserves a part
/// of the remaining time for that.
Duration attemptTimeLimit(const RequestProgress &progress, Duration remaining);

/// HTTP status of a step that answers in place of the endpoint; 0 for the other steps.
int stepStatus(NextStep step);

} // namespace Godwitfork
