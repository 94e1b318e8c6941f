#include "LibCore/LogBudget.h"

#include <algorithm>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Part of the burst that routine lines leave for important ones.
constexpr double reservedShare = 0.4;
} // namespace

LogBudget::LogBudget(double linesPerSecond, double burst) : linesPerSecond(linesPerSecond), burst(burst), available(burst)
{
}

bool LogBudget::take(LogImportance importance, MonotonicTime now)
{
    if (this->refilled != MonotonicTime()) {
        const double elapsed = std::chrono::duration<double>(now - this->refilled).count();
        this->available = std::min(this->burst, this->available + std::max(0.0, elapsed) * this->linesPerSecond);
    }
    this->refilled = now;
    const double floor = importance == LogImportance::Routine ? this->burst * reservedShare : 0;
    if (this->available < floor + 1) {
        ++this->dropped;
        return false;
    }
    this->available -= 1;
    return true;
}

std::uint64_t LogBudget::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Godwitfork
