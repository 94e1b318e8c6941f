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

/// Takes the next piece of an answer's text. False if the caller is gone.
using DeltaSink = std::function<boost::asio::awaitable<bool>(std::string text)>;

/// One model call of a request.
struct StepRequest {
    std::string requestId;
    std::string model;
    std::string version;
    std::string body;
    MonotonicTime deadline;
    /// Empty for a buffered step, whose text is in the result alone.
    DeltaSink sink;
};

enum class StepOutcome { Completed, CallerGone, Failed };

struct StepResult {
    StepOutcome outcome = StepOutcome::Failed;
    /// Set for `Failed`.
    ApiError error;
    std::string endpoint;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// The engine's own estimate, from 0 to 1, that the answer is good.
    double confidence = 0;
    /// Tokens that failed attempts generated before the one that counts; their cost is the operator's.
    std::int64_t lostPromptTokens = 0;
    std::int64_t lostCompletionTokens = 0;
};

/// Runs a step on an endpoint. As long as no text has gone to the sink, a failed attempt is repeated on another endpoint.
boost::asio::awaitable<StepResult> runStep(Worker &worker, StepRequest request);

} // namespace Godwitfork
