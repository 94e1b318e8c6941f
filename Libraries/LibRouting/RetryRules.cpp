#include "LibRouting/RetryRules.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// An attempt with less time than this cannot complete and only wastes work.
constexpr Duration minAttemptDuration = std::chrono::milliseconds(5);
} // namespace

FailureAction actionAfterFailure(CallKind kind, RequestProgress progress, StreamResumption resumption)
{
    if (progress == RequestProgress::NotSent) {
        return FailureAction::RetryAnywhere;
    }
    if (kind == CallKind::NonIdempotent) {
        return FailureAction::Fail;
    }
    if (progress == RequestProgress::NotStarted || progress == RequestProgress::Dispatched) {
        return FailureAction::RetryElsewhere;
    }
    return resumption == StreamResumption::Supported ? FailureAction::ResumeStream : FailureAction::Fail;
}

bool mayHaveRun(RequestProgress progress)
{
    return progress == RequestProgress::Dispatched || progress == RequestProgress::Answering;
}

Duration remainingTime(MonotonicTime deadline, MonotonicTime now)
{
    return deadline - now;
}

std::optional<Duration> attemptTimeout(MonotonicTime deadline, MonotonicTime now, Duration attemptLimit)
{
    const Duration timeout = std::min(remainingTime(deadline, now), attemptLimit);
    if (timeout < minAttemptDuration) {
        return std::nullopt;
    }
    return timeout;
}

} // namespace Godwitfork
