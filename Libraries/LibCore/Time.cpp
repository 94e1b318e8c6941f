#include "LibCore/Time.h"

namespace Godwitfork
{

MonotonicTime monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace Godwitfork
