#include "LibGateway/ModelCascade.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Confidence at which as many answers are good as bad.
constexpr double evenConfidence = 50;
/// Confidence over which the odds change by a factor of e. Two models' reports on one request scatter by some 14 points around
/// their mean difference, so each by 10; 0.59 of that is the scale of the logistic function closest to the normal one.
constexpr double confidenceScale = 6;
/// Reports that a moving mean goes back.
constexpr int maxSamples = 200;
/// Gain of the next larger model, assumed before the first report and counted as this many reports.
constexpr double assumedGain = 35;
constexpr double assumedSamples = 3;
/// Confidence is cut off at both ends, where a report only gives a bound.
constexpr int minConfidence = 0;
constexpr int maxConfidence = 100;
/// Part of an answer's value that the dearest model's run costs; cheaper models cost in proportion.
constexpr double dearestCost = 0.2;
/// Value of a late answer as a part of one on time, as a caution between services that lose half and nearly all of it.
constexpr double lateValue = 0.3;
/// Expected times scatter by about this share, so timeliness falls off around the objective.
constexpr double timeScatter = 0.4;
/// Part of the remaining time within which the first model is expected to complete its answer.
constexpr double finishShare = 0.85;
/// Expected lengths of answers scatter widely: within the first part of the remaining time an answer counts as certain to be
/// complete, beyond the second as certain not to be.
constexpr double certainFinish = 0.7;
constexpr double impossibleFinish = 1.3;

/// Value that the requests behind lose, relative to this one's, if the prompt takes a whole latency objective and the usual wait
/// is one too. A backlog of one wait lasts several times as long and delays everyone who arrives meanwhile.
constexpr double delayCost = 4;

double ratio(Duration part, Duration whole)
{
    return whole > Duration::zero() ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 2;
}

bool isFinishedInTime(const ModelOption &option, const CascadeTimes &times)
{
    return ratio(option.lastOutput, times.remaining) <= finishShare;
}

/// Probability that the answer is complete before it is due.
double finishProbability(const ModelOption &option, const CascadeTimes &times)
{
    const double used = ratio(option.lastOutput, times.remaining);
    return std::clamp((impossibleFinish - used) / (impossibleFinish - certainFinish), 0.0, 1.0);
}

/// Value of a good answer at the expected time, relative to one on time.
double timeliness(const ModelOption &option, const CascadeTimes &times)
{
    const double used = ratio(option.firstOutput, times.untilObjective);
    const double late = std::clamp((used - (1 - timeScatter)) / (2 * timeScatter), 0.0, 1.0);
    return finishProbability(option, times) * (1 - late * (1 - lateValue));
}

double delayOfOthers(const ModelOption &option, const CascadeTimes &times)
{
    return delayCost * ratio(times.meanPromptWait, times.latencyObjective) * ratio(option.promptTime, times.latencyObjective);
}
} // namespace

double acceptability(double confidence)
{
    return 1 / (1 + std::exp((evenConfidence - confidence) / confidenceScale));
}

void ConfidenceGains::record(const std::string &service, const ModelConfidence &smaller, const ModelConfidence &larger)
{
    if (smaller.confidence <= minConfidence || larger.confidence >= maxConfidence) {
        return;
    }
    Estimate &estimate = this->estimates[{service, smaller.model, larger.model}];
    estimate.samples = std::min(estimate.samples + 1, maxSamples);
    estimate.mean += (larger.confidence - smaller.confidence - estimate.mean) / estimate.samples;
}

double ConfidenceGains::gain(const std::string &service, const std::string &smaller, const std::string &larger, std::size_t steps) const
{
    const double assumed = assumedGain * static_cast<double>(steps);
    const auto known = this->estimates.find({service, smaller, larger});
    if (known == this->estimates.end()) {
        return assumed;
    }
    const Estimate &estimate = known->second;
    return (estimate.mean * estimate.samples + assumed * assumedSamples) / (estimate.samples + assumedSamples);
}

std::size_t firstModel(const std::vector<ModelOption> &options, const CascadeTimes &times)
{
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (isFinishedInTime(options[i], times)) {
            return i;
        }
    }
    return 0;
}

std::optional<std::size_t> escalation(const std::vector<ModelOption> &options, std::size_t current, int confidence, const CascadeTimes &times)
{
    const double accepted = acceptability(confidence);
    double bestValue = accepted;
    std::optional<std::size_t> best;
    for (std::size_t i = current + 1; i < options.size(); ++i) {
        const double good = acceptability(confidence + options[i].confidenceGain);
        const double value = good * timeliness(options[i], times) - dearestCost * options[i].relativeCost - delayOfOthers(options[i], times);
        if (value > bestValue) {
            bestValue = value;
            best = i;
        }
    }
    return best;
}

} // namespace Godwitfork
