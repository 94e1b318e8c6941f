#pragma once

#include "ApiError.h"
#include "ChatRequest.h"
#include "Worker.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace Godwitfork
{

/// Receives the next part of the answer's text. Returns false if the caller has disconnected.
using DeltaSink = std::function<boost::asio::awaitable<bool>(std::string text)>;

/// Parameters of one model call of a request.
struct StepRequest {
    std::string requestId;
    std::string model;
    std::string version;
    std::string body;
    std::string account;
    /// Priority of the client account; greater values are admitted first under overload.
    int priority = 0;
    /// Input of the endpoint choice; `excluded` is set for each attempt.
    RouteRequest route;
    MonotonicTime deadline;
    /// Receives the text as it is generated; empty for a buffered step, which only returns it in the result.
    DeltaSink sink;
};

enum class StepOutcome { Completed, CallerGone, Failed };

struct StepResult {
    StepOutcome outcome = StepOutcome::Failed;
    /// Cause of the failure; valid only if `outcome` is `Failed`.
    ApiError error;
    std::string endpoint;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Confidence of the engine in its answer, 0 to 1.
    double confidence = 0;
    /// Prompt and completion tokens of failed attempts before the final one; the operator bears their cost.
    std::int64_t discardedPromptTokens = 0;
    std::int64_t discardedCompletionTokens = 0;
};

/// Runs a step on an endpoint after its pool has admitted it. A failed attempt is retried on another endpoint within the
/// account's retry budget, unless text has already been passed to the sink.
boost::asio::awaitable<StepResult> runStep(Worker &worker, StepRequest request);

} // namespace Godwitfork
