#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace Godwitfork
{

enum class CallKind { Idempotent, NonIdempotent };

/// How far a request got before its attempt failed.
enum class RequestProgress {
    /// No byte was written to an endpoint.
    NotSent,
    /// Bytes were written, but the endpoint answered that it did not start the request.
    NotStarted,
    /// Bytes were written, and none was sent to the caller.
    Dispatched,
    /// Bytes of the response were sent to the caller.
    Answering,
};

enum class StreamResumption { Unsupported, Supported };

enum class FailureAction { RetryAnywhere, RetryElsewhere, ResumeStream, Fail };

/// Table of section 5.9 of the design, without the retry budget and the deadline.
FailureAction actionAfterFailure(CallKind kind, RequestProgress progress, StreamResumption resumption);

/// Whether an attempt that failed with this progress may have run. A request that no attempt may have run can be refused
/// with `ran: no`.
bool mayHaveRun(RequestProgress progress);

/// Time left until the deadline; zero or less means that it has passed.
Duration remainingTime(MonotonicTime deadline, MonotonicTime now);

/// Timeout of the next attempt: the attempt's own limit, cut to the deadline. Empty if too little time is left for an
/// attempt to be of use.
std::optional<Duration> attemptTimeout(MonotonicTime deadline, MonotonicTime now, Duration attemptLimit);

} // namespace Godwitfork
