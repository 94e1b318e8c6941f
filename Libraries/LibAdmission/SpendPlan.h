#pragma once

#include "LibCore/Money.h"
#include "LibCore/Time.h"

#include <array>

namespace Godwitfork
{

/// Planned spend of one account at one site over a month.
struct SpendPlan {
    Microunits amount = 0;
    WallTime begin;
    WallTime end;
    /// Relative demand of the hours of a week, from the hour of `begin` on; all equal by default.
    std::array<double, 168> hourWeights = [] {
        std::array<double, 168> weights {};
        weights.fill(1);
        return weights;
    }();
};

/// Spend that the plan foresees up to `at`.
Microunits plannedSpend(const SpendPlan &plan, WallTime at);

/// Greatest sum of spend and shares at `now`: the plan one `lead` ahead, so that demand may run ahead of the plan for a
/// short time. Never above the plan's amount.
Microunits spendCeiling(const SpendPlan &plan, WallTime now, Duration lead);

/// Real spend divided by the planned one: above 1 the account is ahead of its plan.
double paceRatio(const SpendPlan &plan, Microunits spent, WallTime now);

} // namespace Godwitfork
