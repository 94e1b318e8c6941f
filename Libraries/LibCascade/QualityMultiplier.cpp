#include "LibCascade/QualityMultiplier.h"

#include <algorithm>

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
} // namespace

QualityMultiplier makeMultiplier(double target, Microunits costScale)
{
    return {target, costScale, 0, initialPrice};
}

double multiplierValue(const QualityMultiplier &multiplier)
{
    const double price = multiplier.basePrice + proportionalGain * multiplier.deficit;
    return std::clamp(price, 0.0, maximumPrice) * static_cast<double>(multiplier.costScale);
}

void recordDelivery(QualityMultiplier &multiplier, double expectedRating)
{
    multiplier.deficit += multiplier.target - expectedRating;
    multiplier.basePrice = std::clamp(multiplier.basePrice + integralGain * multiplier.deficit, 0.0, maximumPrice);
}

void recordLateRating(QualityMultiplier &multiplier, double expectedRating, double rating)
{
    multiplier.deficit += expectedRating - rating;
}

} // namespace Godwitfork
