#include "LibRouting/SlownessEstimate.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Three quarters of the estimate come from the last 80 tokens, about two short responses, so that a change shows
/// within a few requests while one pause moves it little.
constexpr double remainderPerToken = 0.983;
constexpr int minTokens = 16;
/// A stalled endpoint must not push the estimate so high that it takes many probes to recover.
constexpr double maxSlowness = 100;
} // namespace

void observeTokens(SlownessEstimate &estimate, int tokens, Duration elapsed)
{
    if (tokens <= 0 || elapsed <= Duration::zero()) {
        return;
    }
    const double observed = static_cast<double>(elapsed.count()) / tokens;
    const double weight = estimate.tokens == 0 ? 1 : 1 - std::pow(remainderPerToken, tokens);
    estimate.timePerToken += weight * (observed - estimate.timePerToken);
    // Only the threshold matters, so the count stops there and cannot overflow.
    estimate.tokens = std::min(minTokens, estimate.tokens + std::min(tokens, minTokens));
}

double slownessFactor(const SlownessEstimate &estimate, double usualTimePerToken)
{
    if (estimate.tokens < minTokens || usualTimePerToken <= 0) {
        return 1;
    }
    return std::clamp(estimate.timePerToken / usualTimePerToken, 1.0, maxSlowness);
}

} // namespace Godwitfork
