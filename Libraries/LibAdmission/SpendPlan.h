#pragma once

#include "LibCore/Money.h"
#include "LibCore/Time.h"

#include <array>

namespace Godwitfork
{

/// Planned spend of one account at one site over a month, distributed by the expected demand of each hour.
struct SpendPlan {
    Microunits amount = 0;
    WallTime begin;
    WallTime end;
    /// Relative demand of each hour of a week, starting with the hour of `begin`; all equal by default.
    std::array<double, 168> hourWeights = [] {
        std::array<double, 168> weights {};
        weights.fill(1);
        return weights;
    }();
};

/// Cumulative spend that the plan provides for up to `time`, microunits.
Microunits plannedSpend(const SpendPlan &plan, WallTime time);

/// Highest sum of spend and granted shares that is permitted at `now`: the planned spend at `now + lead`, so that the demand may exceed the
/// plan for a short time, and at most the plan's amount.
Microunits spendCeiling(const SpendPlan &plan, WallTime now, Duration lead);

/// Ratio of the real to the planned spend; above 1 if the account spends faster than planned, and 1 if no spend is planned yet.
double spentToPlannedRatio(const SpendPlan &plan, Microunits spent, WallTime now);

} // namespace Godwitfork
