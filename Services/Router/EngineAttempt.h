#pragma once

#include "EngineStep.h"
#include "LibRouting/RetryRules.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

enum class AttemptOutcome { Completed, CallerGone, DeadlineExceeded, Failed };

/// Why an attempt failed, as far as it concerns the endpoint's standing.
enum class AttemptFault { None, Endpoint, Exhausted };

/// One attempt of a step on one endpoint.
struct Attempt {
    AttemptOutcome outcome = AttemptOutcome::Failed;
    AttemptFault fault = AttemptFault::None;
    RequestProgress progress = RequestProgress::NotSent;
    std::string reason;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t deltas = 0;
    std::int64_t completionTokens = 0;
    double confidence = 0;
};

/// Runs one attempt and takes its pace and its outcome into the thread's endpoint table.
boost::asio::awaitable<Attempt> runAttempt(Worker &worker, const StepRequest &request, EndpointIndex endpoint);

} // namespace Godwitfork
