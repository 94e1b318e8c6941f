#pragma once

#include "LibGateway/GatewayRequest.h"
#include "LibGateway/RouteConfiguration.h"

namespace Godwitfork
{

enum class AttemptEnd {
    /// The endpoint answered, and the answer's head is complete.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent; its answer was lost, broken or none.
    Lost,
    /// The request was sent and not answered within the attempt's time.
    TimedOut,
};

const char *attemptEndName(AttemptEnd end);

struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotSent;
    /// Set if `end` is `Answered`.
    AnswerMetadata answer;

    auto operator<=>(const AttemptOutcome &) const = default;
};

/// What is known about the attempts of one request so far.
struct RequestProgress {
    RepeatRule repeatRule = RepeatRule::NonIdempotent;
    int attemptLimit = 1;
    /// Requests that reached an endpoint, whatever it answered.
    int arrivals = 0;
    /// Attempts that may have run.
    int possibleRuns = 0;

    auto operator<=>(const RequestProgress &) const = default;
};

/// What the next attempt needs.
struct RetryConditions {
    bool hasEndpoint = false;
    bool hasBudget = false;
    Duration remaining = Duration::zero();

    auto operator<=>(const RetryConditions &) const = default;
};

enum class NextStep {
    /// Pass the endpoint's answer on.
    Deliver,
    TryAnother,
    /// 503: the request did not run and will not.
    RefuseNotRun,
    /// 502: the request may have run.
    Fail,
    /// 504: the time is over.
    FailLate,
};

const char *nextStepName(NextStep step);

/// Whether the endpoint may have run the request.
bool mayHaveRun(const AttemptOutcome &outcome);
/// Whether the answer is a success that may be passed on.
bool isSuccess(const AnswerMetadata &answer);

RequestProgress recordAttempt(RequestProgress progress, const AttemptOutcome &outcome);

/// Decides after an attempt; `progress` includes it.
NextStep nextStep(const RequestProgress &progress, const AttemptOutcome &outcome, const RetryConditions &means);

/// Whether a broken stream can go on at another endpoint.
bool mayResume(const RequestProgress &progress, const RetryConditions &means);

/// Longest time of the next attempt, so that a request that may be repeated keeps time for another attempt.
Duration attemptTimeLimit(const RequestProgress &progress, Duration remaining);

/// HTTP status of a step that answers by itself; 0 for the others.
int stepStatus(NextStep step);

} // namespace Godwitfork
