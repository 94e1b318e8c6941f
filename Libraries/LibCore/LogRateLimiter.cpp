#include "LibCore/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Share of the burst, 0 to 1, that is reserved for important lines.
constexpr double importantShare = 0.4;
} // namespace

LogRateLimiter::LogRateLimiter(double linesPerSecond, double burst) : linesPerSecond(linesPerSecond), burst(burst), tokens(burst)
{
}

bool LogRateLimiter::tryTake(LogImportance importance, MonotonicTime now)
{
    if (this->lastRefill != MonotonicTime()) {
        const double elapsed = std::chrono::duration<double>(now - this->lastRefill).count();
        this->tokens = std::min(this->burst, this->tokens + std::max(0.0, elapsed) * this->linesPerSecond);
    }
    this->lastRefill = now;
    const double floor = importance == LogImportance::Routine ? this->burst * importantShare : 0;
    if (this->tokens < floor + 1) {
        ++this->dropped;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Godwitfork
