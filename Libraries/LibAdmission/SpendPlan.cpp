#include "LibAdmission/SpendPlan.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr Duration hour = std::chrono::hours(1);

/// Integral of the hour weights over the first `elapsed` of the plan, in weighted hours.
double weightedHours(const SpendPlan &plan, Duration elapsed)
{
    double sum = 0;
    Duration begin {};
    for (std::size_t index = 0; begin < elapsed; ++index, begin += hour) {
        const Duration part = std::min(hour, elapsed - begin);
        const double share = static_cast<double>(part.count()) / static_cast<double>(hour.count());
        sum += plan.hourWeights[index % plan.hourWeights.size()] * share;
    }
    return sum;
}
} // namespace

Microunits plannedSpend(const SpendPlan &plan, WallTime time)
{
    if (time >= plan.end) {
        return plan.amount;
    }
    const double total = weightedHours(plan, plan.end - plan.begin);
    if (time <= plan.begin || total <= 0) {
        return 0;
    }
    const double fraction = weightedHours(plan, time - plan.begin) / total;
    return static_cast<Microunits>(static_cast<double>(plan.amount) * fraction);
}

Microunits spendCeiling(const SpendPlan &plan, WallTime now, Duration lead)
{
    return std::min(plan.amount, plannedSpend(plan, now + lead));
}

double spentToPlannedRatio(const SpendPlan &plan, Microunits spent, WallTime now)
{
    const Microunits planned = plannedSpend(plan, now);
    return planned > 0 ? static_cast<double>(spent) / static_cast<double>(planned) : 1;
}

} // namespace Godwitfork
