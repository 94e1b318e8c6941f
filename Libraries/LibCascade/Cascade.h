#pragma once

#include "LibCascade/QualityEstimates.h"
#include "LibCore/Money.h"
#include "LibCore/Random.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Largest share of requests whose decision is reversed to learn about the alternative.
constexpr double explorationShare = 0.02;

/// A step that a cascade may run, with its expected cost for one request.
struct CascadeStep {
    std::string version;
    Microunits expectedCost = 0;

    auto operator<=>(const CascadeStep &) const = default;
};

/// Steps by rising cost; of steps with the same version only the cheapest remains.
std::vector<CascadeStep> cascadeOrder(std::vector<CascadeStep> steps);

struct CascadeRequest {
    std::string account;
    std::string taskClass;
    /// In cascadeOrder.
    std::vector<CascadeStep> steps;
    /// Price of one unit of rating in microunits, from QualityMultiplier.
    double multiplier = 0;
    /// True for the share of requests that may explore.
    bool explore = false;
    /// Uniform in [0, 1): which of these requests explore an alternative that is known in part.
    double explorationDraw = 0;
};

bool drawExploration(RandomSource &random);

/// Step to start with. It is the cheapest one unless starting directly with a stronger version is expected to be better.
std::size_t firstStep(const QualityEstimates &estimates, const CascadeRequest &request);

struct StepDecision {
    /// Step to run next; empty to deliver the answer.
    std::optional<std::size_t> escalateTo;
    /// Estimated rating of the delivered answer, or of the next step's answer.
    double expectedRating = 0;
    /// Whether exploration reversed the decision.
    bool explored = false;

    auto operator<=>(const StepDecision &) const = default;
};

/// Decides on the answer of one step from its reported confidence. An exploring request reverses the decision on its
/// first answer, the more rarely the more ratings the alternative has.
StepDecision decideStep(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t step, double confidence);

} // namespace Godwitfork
