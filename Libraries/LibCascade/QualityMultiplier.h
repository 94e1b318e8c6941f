#pragma once

#include "LibCore/Money.h"

#include <compare>

namespace Godwitfork
{

/// Price of rating for one client account. A dual update raises it while the running average rating is below the
/// account's target and lowers it while the average is above.
struct QualityMultiplier {
    double target = 0;
    /// Cost of the strongest version; the unit of the multiplier.
    Microunits costScale = 1;
    /// Sum of (target - rating) over delivered answers, with the estimate in place of a rating that has not arrived.
    double deficit = 0;
    /// Long-term price in units of `costScale` for one unit of rating.
    double basePrice = 0;
    /// Sum of squared differences between ratings and their estimates.
    double squaredErrors = 0;

    auto operator<=>(const QualityMultiplier &) const = default;
};

QualityMultiplier makeMultiplier(double target, Microunits costScale);

/// Microunits for one unit of rating.
double multiplierValue(const QualityMultiplier &multiplier);

/// Counts a delivered answer by its estimated rating.
void recordDelivery(QualityMultiplier &multiplier, double expectedRating);

/// Replaces the estimate of a delivered answer by its rating.
void recordLateRating(QualityMultiplier &multiplier, double expectedRating, double rating);

} // namespace Godwitfork
