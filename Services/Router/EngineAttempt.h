#pragma once

#include "EngineStep.h"
#include "LibRouting/RetryRules.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

enum class AttemptOutcome { Completed, CallerGone, DeadlineExceeded, Failed };

/// Cause of a failed attempt: `Endpoint` counts as a failure of the endpoint, `Exhausted` means that it is at capacity.
enum class AttemptFault { None, Endpoint, Exhausted };

/// Result of one attempt to run a step on one endpoint.
struct Attempt {
    AttemptOutcome outcome = AttemptOutcome::Failed;
    AttemptFault fault = AttemptFault::None;
    RequestProgress progress = RequestProgress::NotSent;
    std::string reason;
    std::string text;
    std::int64_t promptTokens = 0;
    /// Number of non-empty text chunks received.
    std::int64_t textChunks = 0;
    std::int64_t completionTokens = 0;
    double confidence = 0;
};

/// Runs one attempt and records its token rate and its outcome in the thread's endpoint table.
boost::asio::awaitable<Attempt> runAttempt(Worker &worker, const StepRequest &request, EndpointIndex endpoint);

} // namespace Godwitfork
