#include "LibRouting/SlownessEstimate.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Factor by which the weight of older observations decays with each token. The last 80 tokens, about two short responses, have three
/// quarters of the weight, so that the estimate follows a change within a few requests but a single pause has little effect.
constexpr double decayPerToken = 0.983;
constexpr int minTokenCount = 16;
/// Limits the factor of a stalled endpoint, so that a few probes suffice for its readmission.
constexpr double maxSlowness = 100;
} // namespace

void observeTokens(SlownessEstimate &estimate, int tokens, Duration elapsed)
{
    if (tokens <= 0 || elapsed <= Duration::zero()) {
        return;
    }
    const double observed = static_cast<double>(elapsed.count()) / tokens;
    const double weight = estimate.tokens == 0 ? 1 : 1 - std::pow(decayPerToken, tokens);
    estimate.timePerToken += weight * (observed - estimate.timePerToken);
    // Only the comparison with the threshold matters. The count stops there, so that it cannot overflow.
    estimate.tokens = std::min(minTokenCount, estimate.tokens + std::min(tokens, minTokenCount));
}

double slownessFactor(const SlownessEstimate &estimate, double medianTimePerToken)
{
    if (estimate.tokens < minTokenCount || medianTimePerToken <= 0) {
        return 1;
    }
    return std::clamp(estimate.timePerToken / medianTimePerToken, 1.0, maxSlowness);
}

} // namespace Godwitfork
