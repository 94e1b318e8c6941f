#include "LibCascade/Cascade.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Godwitfork
{

namespace
{
// Number of ratings of an alternative, over all accounts, at which it is explored half as often as an unrated one. The mean of 20
// ratings has a standard error of about 0.03. A constant exploration share spent a fifth of Kalendarwerk's cost on bins whose ratings
// were already well estimated.
constexpr double ratingsUntilHalfExploration = 20;

double estimate(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t version, std::size_t signal, int bin)
{
    return estimates.rating({request.account, request.taskClass, request.steps[version].version, request.steps[signal].version, bin});
}

double costOf(const CascadeRequest &request, std::size_t step)
{
    return static_cast<double>(request.steps[step].expectedCost);
}

/// A step with its expected rating and its value in microunits: `multiplier * rating - expectedCost`.
struct Option {
    std::optional<std::size_t> step;
    double rating = 0;
    double value = 0;
};

Option bestStrongerStep(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t step, int bin)
{
    Option best;
    for (std::size_t next = step + 1; next < request.steps.size(); ++next) {
        const double rating = estimate(estimates, request, next, step, bin);
        const double value = request.multiplier * rating - costOf(request, next);
        if (!best.step || value > best.value) {
            best = {next, rating, value};
        }
    }
    return best;
}

/// Factor that reduces the exploration of an alternative to the decision on the cheapest step's answer, from 1 for an unrated
/// alternative towards 0: `n / (n + ratings)` with `n = ratingsUntilHalfExploration`.
double explorationFactor(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t alternative, int bin)
{
    const double ratings = estimates.sharedRatings({"", request.taskClass, request.steps[alternative].version, request.steps[0].version, bin});
    return ratingsUntilHalfExploration / (ratingsUntilHalfExploration + ratings);
}
} // namespace

std::vector<CascadeStep> cascadeOrder(std::vector<CascadeStep> steps)
{
    std::sort(steps.begin(), steps.end(), [](const CascadeStep &left, const CascadeStep &right) {
        return std::tie(left.expectedCost, left.version) < std::tie(right.expectedCost, right.version);
    });
    std::set<std::string> seen;
    std::erase_if(steps, [&seen](const CascadeStep &step) { return !seen.insert(step.version).second; });
    return steps;
}

bool drawExploration(RandomSource &random)
{
    return std::bernoulli_distribution(explorationShare)(random);
}

std::size_t firstStep(const QualityEstimates &estimates, const CascadeRequest &request)
{
    // An exploring request runs the cheapest version first, because the estimates are conditional on its confidence.
    if (request.explore || request.steps.size() < 2) {
        return 0;
    }
    const BinShares shares = estimates.binShares(request.account, request.taskClass, request.steps[0].version);
    std::vector<double> values(request.steps.size());
    for (std::size_t step = 0; step < request.steps.size(); ++step) {
        values[step] = -costOf(request, step);
    }
    for (int bin = 0; bin < confidenceBinCount; ++bin) {
        const double accepted = request.multiplier * estimate(estimates, request, 0, 0, bin);
        const double escalated = bestStrongerStep(estimates, request, 0, bin).value;
        values[0] += shares.share[bin] * std::max(accepted, escalated);
        for (std::size_t step = 1; step < request.steps.size(); ++step) {
            values[step] += shares.share[bin] * request.multiplier * estimate(estimates, request, step, 0, bin);
        }
    }
    return static_cast<std::size_t>(std::max_element(values.begin(), values.end()) - values.begin());
}

StepDecision decideStep(const QualityEstimates &estimates, const CascadeRequest &request, std::size_t step, double confidence)
{
    const int bin = confidenceBin(confidence);
    const double rating = estimate(estimates, request, step, step, bin);
    const Option stronger = bestStrongerStep(estimates, request, step, bin);
    if (!stronger.step) {
        return {std::nullopt, rating, false};
    }
    const bool wouldEscalate = stronger.value > request.multiplier * rating;
    const std::size_t alternative = wouldEscalate ? step : *stronger.step;
    const bool reversed = request.explore && step == 0 && request.explorationDraw < explorationFactor(estimates, request, alternative, bin);
    if (wouldEscalate != reversed) {
        return {stronger.step, stronger.rating, reversed};
    }
    return {std::nullopt, rating, reversed};
}

} // namespace Godwitfork
