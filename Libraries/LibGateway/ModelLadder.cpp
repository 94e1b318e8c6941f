#include "LibGateway/ModelLadder.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Confidence at which as many answers are good as bad.
constexpr double evenConfidence = 50;
/// Confidence over which the odds change by a factor of e; models state their confidence roughly.
constexpr double confidenceScale = 10;
/// Reports that a moving mean goes back.
constexpr int maxSamples = 200;
/// Part of an answer's value that the dearest model's run costs; cheaper models cost in proportion.
constexpr double dearestCost = 0.2;
/// Value of a late answer as a part of one on time, as a caution between services that lose half and nearly all of it.
constexpr double lateValue = 0.3;
/// Expected times scatter by about this share, so timeliness falls off around the objective.
constexpr double timeScatter = 0.4;
/// Part of the remaining time within which an answer is expected to be complete.
constexpr double finishShare = 0.85;

/// Value that one request loses if it is delayed by a whole latency objective.
constexpr double delayCost = 0.12;

double ratio(Duration part, Duration whole)
{
    return whole > Duration::zero() ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 2;
}

bool isFinishedInTime(const ModelOption &option, const LadderTimes &times)
{
    return ratio(option.lastOutput, times.remaining) <= finishShare;
}

/// Value of a good answer at the expected time, relative to one on time.
double timeliness(const ModelOption &option, const LadderTimes &times)
{
    if (!isFinishedInTime(option, times)) {
        return 0;
    }
    const double used = ratio(option.firstOutput, times.untilObjective);
    const double late = std::clamp((used - (1 - timeScatter)) / (2 * timeScatter), 0.0, 1.0);
    return 1 - late * (1 - lateValue);
}

/// Value that the requests beside lose while the engine reads this prompt.
double delayOfOthers(const ModelOption &option, const LadderTimes &times)
{
    return delayCost * option.requestsBeside * ratio(option.promptTime, times.latencyObjective);
}

/// Probability that a larger model's answer is good where the current one's is good with probability `accepted`. Models
/// agree on what is hard, so the larger one helps with a part of what the smaller one fails at.
double improved(double accepted, double currentQuality, double largerQuality)
{
    const double gain = currentQuality < 1 ? std::clamp((largerQuality - currentQuality) / (1 - currentQuality), 0.0, 1.0) : 0;
    return accepted + (1 - accepted) * gain;
}
} // namespace

double acceptability(int confidence)
{
    return 1 / (1 + std::exp((evenConfidence - confidence) / confidenceScale));
}

void ConfidenceEstimates::record(const std::string &service, const std::string &model, int confidence)
{
    Estimate &estimate = this->estimates[{service, model}];
    estimate.samples = std::min(estimate.samples + 1, maxSamples);
    estimate.mean += (acceptability(confidence) - estimate.mean) / estimate.samples;
}

double ConfidenceEstimates::quality(const std::string &service, const std::string &model, double assumed) const
{
    // Ten reports are worth as much as the assumption.
    constexpr double assumedSamples = 10;
    const auto known = this->estimates.find({service, model});
    if (known == this->estimates.end()) {
        return assumed;
    }
    const Estimate &estimate = known->second;
    return (estimate.mean * estimate.samples + assumed * assumedSamples) / (estimate.samples + assumedSamples);
}

std::size_t firstModel(const std::vector<ModelOption> &options, const LadderTimes &times)
{
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (isFinishedInTime(options[i], times)) {
            return i;
        }
    }
    return 0;
}

std::optional<std::size_t> escalation(const std::vector<ModelOption> &options, std::size_t current, int confidence, const LadderTimes &times)
{
    const double accepted = acceptability(confidence);
    double bestValue = accepted;
    std::optional<std::size_t> best;
    for (std::size_t i = current + 1; i < options.size(); ++i) {
        const double good = improved(accepted, options[current].quality, options[i].quality);
        const double value = good * timeliness(options[i], times) - dearestCost * options[i].relativeCost - delayOfOthers(options[i], times);
        if (value > bestValue) {
            bestValue = value;
            best = i;
        }
    }
    return best;
}

} // namespace Godwitfork
