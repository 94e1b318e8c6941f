#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace Godwitfork
{

enum class CallKind { Idempotent, NonIdempotent };

/// Progress of a request when its attempt failed.
enum class RequestProgress {
    /// No byte of the request was written to an endpoint.
    NotSent,
    /// Bytes of the request were written, but the endpoint answered that it did not start it.
    NotStarted,
    /// Bytes of the request were written, but no byte of a response was sent to the caller.
    Dispatched,
    /// Bytes of the response were sent to the caller.
    Answering,
};

enum class StreamResumption { Unsupported, Supported };

enum class FailureAction { RetryAnywhere, RetryElsewhere, ResumeStream, Fail };

/// Returns the permitted reaction to a failed attempt. A non-idempotent request is repeated only if nothing of it was sent, and a
/// response in progress is never restarted, only resumed. The caller also checks the retry budget and the deadline.
FailureAction actionAfterFailure(CallKind kind, RequestProgress progress, StreamResumption resumption);

/// Whether an endpoint may have run a request whose attempt failed with this progress. If this is false for all attempts, the request
/// can be refused with `ran: no`.
bool mayHaveRun(RequestProgress progress);

/// Time until the deadline; zero or negative once it has passed.
Duration remainingTime(MonotonicTime deadline, MonotonicTime now);

/// Timeout of the next attempt: `attemptLimit` or the time until the deadline, whichever is shorter. Empty if it would be less than
/// 5 ms.
std::optional<Duration> attemptTimeout(MonotonicTime deadline, MonotonicTime now, Duration attemptLimit);

} // namespace Godwitfork
