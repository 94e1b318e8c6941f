#pragma once

#include <chrono>
#include <cstdint>

namespace Godwitfork
{

using Duration = std::chrono::microseconds;

/// Monotonic time for leases, timeouts and measurements. Values of different processes are not comparable.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Time since 1970 (UTC), for records that leave the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

MonotonicTime monotonicNow();
WallTime wallNow();

/// Whole milliseconds of a duration, rounded towards zero.
std::int64_t toMilliseconds(Duration time);

} // namespace Godwitfork
