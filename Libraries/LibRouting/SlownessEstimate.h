#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Moving estimate of an endpoint's time per token, from the observations of one traffic thread.
struct SlownessEstimate {
    /// Microseconds per token; 0 before the first observation.
    double timePerToken = 0;
    /// Tokens observed so far.
    int tokens = 0;

    auto operator<=>(const SlownessEstimate &) const = default;
};

/// Takes `tokens` that arrived over `elapsed`. Observations without tokens or time are ignored.
void observeTokens(SlownessEstimate &estimate, int tokens, Duration elapsed);

/// Ratio of the estimate to the pool's usual time per token, at least 1. It is 1 until enough tokens were observed,
/// because a single pause is common under load.
double slownessFactor(const SlownessEstimate &estimate, double usualTimePerToken);

} // namespace Godwitfork
