#pragma once

#include "LibCore/Money.h"

#include <compare>

namespace Godwitfork
{

/// Lagrange multiplier of one client account's quality target, the price of a unit of rating. A dual update by a proportional-integral
/// controller raises it while the average rating of the delivered answers is below the target, and lowers it while the average is
/// above.
struct QualityMultiplier {
    /// Target of the average rating, 0 to 1.
    double target = 0;
    /// Cost of the strongest version, microunits; prices are multiples of it.
    Microunits costScale = 1;
    /// Sum of `target - rating` over the delivered answers. The estimate stands in for a rating that has not arrived.
    double deficit = 0;
    /// Integral part of the price of one unit of rating, in units of `costScale`.
    double basePrice = 0;
    /// Sum of the squared differences between ratings and their estimates.
    double squaredErrors = 0;

    auto operator<=>(const QualityMultiplier &) const = default;
};

QualityMultiplier makeMultiplier(double target, Microunits costScale);

/// Price of one unit of rating, microunits.
double multiplierValue(const QualityMultiplier &multiplier);

/// Adds a delivered answer with its estimated rating.
void recordDelivery(QualityMultiplier &multiplier, double expectedRating);

/// Replaces the estimated rating of a delivered answer by the rating that has arrived.
void recordLateRating(QualityMultiplier &multiplier, double expectedRating, double rating);

} // namespace Godwitfork
