#include "LibCascade/QualityMultiplier.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
// Price that escalates when the strongest version is expected to gain a third of the rating scale.
constexpr double initialPrice = 3;
// Change of the price for one unit of deficit. With a slope of about 0.05 rating for one unit of price, a deficit decays
// with a time constant of about 100 answers.
constexpr double proportionalGain = 0.2;
// Change of the base price for one unit of deficit and one answer; below 0.05 * proportionalGain^2 / 4, above which the
// two corrections oscillate.
constexpr double integralGain = 0.0004;
constexpr double maximumPrice = 100;
// Standard errors of the sum of ratings that the multiplier keeps above the target. Without a margin the true average
// of every second account ends just below its target.
constexpr double marginErrors = 2;

/// Deficit beyond the one that keeps the margin.
double steeredDeficit(const QualityMultiplier &multiplier)
{
    return multiplier.deficit + marginErrors * std::sqrt(multiplier.squaredErrors);
}
} // namespace

QualityMultiplier makeMultiplier(double target, Microunits costScale)
{
    return {target, costScale, 0, initialPrice, 0};
}

double multiplierValue(const QualityMultiplier &multiplier)
{
    const double price = multiplier.basePrice + proportionalGain * steeredDeficit(multiplier);
    return std::clamp(price, 0.0, maximumPrice) * static_cast<double>(multiplier.costScale);
}

void recordDelivery(QualityMultiplier &multiplier, double expectedRating)
{
    multiplier.deficit += multiplier.target - expectedRating;
    multiplier.basePrice = std::clamp(multiplier.basePrice + integralGain * steeredDeficit(multiplier), 0.0, maximumPrice);
}

void recordLateRating(QualityMultiplier &multiplier, double expectedRating, double rating)
{
    const double error = expectedRating - rating;
    multiplier.deficit += error;
    multiplier.squaredErrors += error * error;
}

} // namespace Godwitfork
