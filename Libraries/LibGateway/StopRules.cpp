#include "LibGateway/StopRules.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time until the balancer stops sending callers: it checks readiness every second and removes an instance after two failures.
constexpr Duration balancerDelay = std::chrono::milliseconds(2500);
/// Part of the stop limit reserved for the exit of the process itself.
constexpr Duration exitMargin = std::chrono::milliseconds(400);
/// Time in which the answers to interrupted requests are sent.
constexpr Duration finalAnswerTime = std::chrono::milliseconds(300);
} // namespace

StopSchedule makeStopSchedule(MonotonicTime now, Duration stopLimit)
{
    StopSchedule schedule;
    schedule.began = now;
    schedule.endsAt = now + std::max(Duration::zero(), stopLimit - exitMargin);
    schedule.interruptAt = std::max(now, schedule.endsAt - finalAnswerTime);
    schedule.drainAt = std::min(now + balancerDelay, schedule.interruptAt);
    return schedule;
}

StopConditions stopConditions(const StopSchedule &schedule, MonotonicTime now, Duration timeLimit)
{
    return {now < schedule.drainAt, schedule.interruptAt - now, timeLimit};
}

bool isAdmittedWhileStopping(const StopConditions &conditions)
{
    return conditions.mayBalancerSend || conditions.timeLimit <= conditions.untilInterrupt;
}

Duration timeForAttempt(const StopSchedule &schedule, MonotonicTime now, Duration remaining)
{
    return std::max(Duration::zero(), std::min(remaining, schedule.interruptAt - now));
}

} // namespace Godwitfork
