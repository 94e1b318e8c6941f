#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Times of an instance's stop, from the signal to the exit of the process, in this order.
struct StopSchedule {
    MonotonicTime began;
    /// End of the time in which the balancer still sends requests as before.
    MonotonicTime drainAt;
    /// Requests that are still in progress are ended with an answer of the instance.
    MonotonicTime interruptAt;
    /// The event loop ends, and with it every connection that is still open.
    MonotonicTime endsAt;

    auto operator<=>(const StopSchedule &) const = default;
};

/// Schedule of a stop that begins at `now` and ends within `stopLimit`.
StopSchedule makeStopSchedule(MonotonicTime now, Duration stopLimit);

} // namespace Godwitfork
