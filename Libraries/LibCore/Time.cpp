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

} // namespace Godwitfork
