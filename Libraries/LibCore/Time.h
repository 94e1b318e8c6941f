#pragma once

#include <chrono>

namespace Godwitfork
{

using Duration = std::chrono::microseconds;

/// Time for leases, timeouts and measurements; never compared between processes.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Time of day, for records that leave the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

MonotonicTime monotonicNow();
WallTime wallNow();

} // namespace Godwitfork
