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

/// What is known when a request arrives during a stop.
struct StopConditions {
    /// Whether the balancer may not have noticed the stop yet.
    bool mayBalancerSend = false;
    /// Time until requests in progress are ended; negative after that.
    Duration untilInterrupt = Duration::zero();
    /// Time that the request may take, by its caller's deadline and its route.
    Duration timeLimit = Duration::zero();

    auto operator<=>(const StopConditions &) const = default;
};

/// Schedule of a stop that begins at `now` and ends within `stopLimit`.
StopSchedule makeStopSchedule(MonotonicTime now, Duration stopLimit);

StopConditions stopConditions(const StopSchedule &schedule, MonotonicTime now, Duration timeLimit);
/// Whether an instance that stops takes the request. Once the balancer has had its time, it takes only what certainly ends before the process
/// does; another instance takes the others.
bool isAdmittedWhileStopping(const StopConditions &conditions);
/// Time for another attempt of a request with the given remaining time.
Duration timeForAttempt(const StopSchedule &schedule, MonotonicTime now, Duration remaining);

} // namespace Godwitfork
