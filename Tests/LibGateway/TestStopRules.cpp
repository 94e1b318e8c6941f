#include "LibGateway/StopRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start = MonotonicTime(100s);

bool admits(Duration sinceStop, Duration timeLimit, Duration stopLimit = 8s)
{
    const StopSchedule schedule = makeStopSchedule(start, stopLimit);
    return isAdmittedWhileStopping(stopConditions(schedule, start + sinceStop, timeLimit));
}

Duration anyTime(Duration maximum)
{
    return Duration(*rc::gen::inRange<std::int64_t>(0, maximum.count() + 1));
}
} // namespace

// Guards against LOST: requests that came late in the stop were passed on and cut at its end, whatever time they had.
TEST_CASE("A late request is admitted only if its whole time ends before the process does", "[stop]")
{
    // While the balancer still sends, every request is admitted.
    CHECK(admits(0s, 60s));
    CHECK(admits(2400ms, 60s));
    CHECK(admits(2600ms, 4s));
    CHECK_FALSE(admits(2600ms, 5s));
    CHECK(admits(6s, 1s));
    CHECK_FALSE(admits(6s, 2s));
    CHECK_FALSE(admits(7900ms, 1ms));
    // The balancer's time does not reach beyond the limit of a short stop.
    CHECK(admits(0s, 100ms, 1s));
    CHECK_FALSE(admits(400ms, 100ms, 1s));
}

TEST_CASE("The phases of a stop follow one another within its limit", "[stop]")
{
    rc::check([] {
        const Duration limit = anyTime(600s);
        const StopSchedule schedule = makeStopSchedule(start, limit);
        RC_ASSERT(schedule.began == start);
        RC_ASSERT(schedule.began <= schedule.drainAt);
        RC_ASSERT(schedule.drainAt <= schedule.interruptAt);
        RC_ASSERT(schedule.interruptAt <= schedule.endsAt);
        RC_ASSERT(schedule.endsAt <= start + limit);
    });
}

TEST_CASE("After the balancer's time, no admitted request can outlast the process and none that cannot is refused", "[stop]")
{
    rc::check([] {
        const StopSchedule schedule = makeStopSchedule(start, anyTime(60s));
        const MonotonicTime now = start + anyTime(60s);
        const Duration timeLimit = anyTime(60s);
        const bool isAdmitted = isAdmittedWhileStopping(stopConditions(schedule, now, timeLimit));
        RC_ASSERT(isAdmitted == (now < schedule.drainAt || now + timeLimit <= schedule.interruptAt));
    });
}

TEST_CASE("An attempt has no time beyond the moment at which it would be interrupted", "[stop]")
{
    const StopSchedule schedule = makeStopSchedule(start, 8s);
    CHECK(timeForAttempt(schedule, start, 3s) == 3s);
    CHECK(timeForAttempt(schedule, schedule.interruptAt - 1s, 3s) == 1s);
    CHECK(timeForAttempt(schedule, schedule.interruptAt + 1ms, 3s) == 0s);
}
