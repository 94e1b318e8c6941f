#include "LibColdStart/ColdShare.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Part of the bound that the instances use while they agree on the ranks.
constexpr double usedShare = 0.4;
constexpr Duration doublingTime = std::chrono::milliseconds(500);
/// Keeps a product that is a whole number from being rounded down.
constexpr double roundingError = 1e-9;

double growth(Duration elapsed)
{
    return std::exp2(static_cast<double>(elapsed.count()) / static_cast<double>(doublingTime.count()));
}
} // namespace

bool isBounded(const ColdRule &rule)
{
    return rule.requestsPerSecond > 0;
}

int coldAllowance(const ColdRule &rule)
{
    constexpr double most = 1e6;
    const double bound = rule.requestsPerSecond * rule.overage + rule.tolerance;
    return static_cast<int>(std::clamp(std::floor(usedShare * bound + roundingError), 1.0, most));
}

int slowStartAllowance(const ColdRule &rule, Duration elapsed)
{
    return static_cast<int>(coldAllowance(rule) * growth(std::clamp(elapsed, Duration::zero(), slowStartTime)));
}

int instanceAllowance(int allowance, int rank, int instances)
{
    const int sharing = std::min(allowance, std::max(1, instances));
    if (rank >= sharing) {
        return 0;
    }
    return allowance / sharing + (rank < allowance % sharing ? 1 : 0);
}

Duration slowStartEntry(const ColdRule &rule, int rank)
{
    const double needed = static_cast<double>(rank + 1) / coldAllowance(rule);
    if (needed <= 1) {
        return Duration::zero();
    }
    const auto entry = std::chrono::duration_cast<Duration>(doublingTime * std::log2(needed));
    // Rounding must not yield a time at which the allowance is still too small by one.
    return std::min(entry + Duration(1), slowStartTime);
}

} // namespace Godwitfork
