#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Exponentially weighted moving average of an endpoint's time per token, from the observations of one traffic thread.
struct SlownessEstimate {
    /// Average time per token, microseconds; 0 before the first observation.
    double timePerToken = 0;
    /// Number of tokens observed, counted up to the number from which the estimate is used.
    int tokens = 0;

    auto operator<=>(const SlownessEstimate &) const = default;
};

/// Adds an observation of `tokens` that arrived within `elapsed`. Observations without tokens or time are ignored.
void observeTokens(SlownessEstimate &estimate, int tokens, Duration elapsed);

/// Ratio of the endpoint's time per token to the group's median, 1 to 100. It is 1 until 16 tokens were observed, because a single
/// pause is common under load.
double slownessFactor(const SlownessEstimate &estimate, double medianTimePerToken);

} // namespace Godwitfork
