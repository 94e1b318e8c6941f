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

/// Share of requests that may explore, which is the largest share of requests whose decision is reversed to collect ratings of the
/// alternative.
constexpr double explorationShare = 0.02;

/// Model version that a cascade may run, with its expected cost for one request.
struct CascadeStep {
    std::string version;
    Microunits expectedCost = 0;

    auto operator<=>(const CascadeStep &) const = default;
};

/// Returns the steps by ascending cost; of steps with the same version only the cheapest remains.
std::vector<CascadeStep> cascadeOrder(std::vector<CascadeStep> steps);

struct CascadeRequest {
    std::string account;
    std::string taskClass;
    /// Steps in the order of `cascadeOrder`.
    std::vector<CascadeStep> steps;
    /// Price of one unit of rating, microunits; see `multiplierValue`.
    double multiplier = 0;
    /// Whether the request may explore; see `drawExploration`.
    bool explore = false;
    /// Uniform in [0, 1). A request that may explore does so if this is below the exploration factor of the alternative.
    double explorationDraw = 0;
};

/// Draws whether a request may explore, with probability `explorationShare`.
bool drawExploration(RandomSource &random);

/// Returns the index of the step to start with: the one with the highest expected value, or always the cheapest one for an exploring
/// request. A stronger version wins if nearly all answers of the cheapest would be escalated.
std::size_t firstStep(const QualityEstimates &estimates, const CascadeRequest &request);

struct StepDecision {
    /// Index of the step to run next; empty to deliver the answer.
    std::optional<std::size_t> escalateTo;
    /// Estimated rating of the answer if it is delivered, otherwise of the next step's answer; 0 to 1.
    double expectedRating = 0;
    /// Whether exploration reversed the decision.
    bool explored = false;

    auto operator<=>(const StepDecision &) const = default;
};

/// Decides from the reported confidence whether the answer of a step is delivered or escalated. An exploring request may reverse the
/// decision on its first answer, with a probability that falls with the number of the alternative's ratings.
StepDecision decideStep(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t step, double confidence);

} // namespace Godwitfork
