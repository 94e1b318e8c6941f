#include "LibCascade/QualityMultiplier.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
// Initial price in units of `costScale`. At 3, an escalation to the strongest version pays if it raises the expected rating by a third.
constexpr double initialPrice = 3;
// Change of the price per unit of deficit. The average rating rises by about 0.05 per unit of price, so a deficit decays with a time
// constant of about 1 / (0.05 * 0.2) = 100 answers.
constexpr double proportionalGain = 0.2;
// Change of the base price per unit of deficit and answer. The proportional and integral corrections oscillate above
// 0.05 * proportionalGain^2 / 4 = 0.0005.
constexpr double integralGain = 0.0004;
constexpr double maximumPrice = 100;
// Safety margin above the target, in standard errors of the sum of ratings. Without a margin the true average of every second account
// ends just below its target.
constexpr double marginStandardErrors = 2;

/// Deficit plus the safety margin; the controller drives this sum to zero.
double deficitWithMargin(const QualityMultiplier &multiplier)
{
    return multiplier.deficit + marginStandardErrors * std::sqrt(multiplier.squaredErrors);
}
} // namespace

QualityMultiplier makeMultiplier(double target, Microunits costScale)
{
    return {target, costScale, 0, initialPrice, 0};
}

double multiplierValue(const QualityMultiplier &multiplier)
{
    const double price = multiplier.basePrice + proportionalGain * deficitWithMargin(multiplier);
    return std::clamp(price, 0.0, maximumPrice) * static_cast<double>(multiplier.costScale);
}

void recordDelivery(QualityMultiplier &multiplier, double expectedRating)
{
    multiplier.deficit += multiplier.target - expectedRating;
    multiplier.basePrice = std::clamp(multiplier.basePrice + integralGain * deficitWithMargin(multiplier), 0.0, maximumPrice);
}

void recordLateRating(QualityMultiplier &multiplier, double expectedRating, double rating)
{
    const double error = expectedRating - rating;
    multiplier.deficit += error;
    multiplier.squaredErrors += error * error;
}

} // namespace Godwitfork
