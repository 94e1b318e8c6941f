#include "LibGateway/ModelCascade.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Confidence at which half of the answers are acceptable.
constexpr double evenOddsConfidence = 50;
/// Scale of the logistic function from confidence to probability: the odds change by a factor of e over this many points. The difference
/// of two models' confidences on one request has a standard deviation of about 14 points, so each confidence has 14/sqrt(2) = 10. The
/// logistic function closest to a normal distribution has 0.59 of its standard deviation as scale.
constexpr double confidenceScale = 6;
/// Window of the moving average of a gain, in reports: each new one gets a weight of at least 1/maxSamples.
constexpr int maxSamples = 200;
/// Prior of the gain of the next larger model, in points of confidence.
constexpr double priorGain = 35;
/// Weight of the prior gain, in reports.
constexpr double priorSamples = 3;
/// Reported confidence is cut off at both ends, so a report at an end is only a bound and is not used to estimate the gain.
constexpr int minConfidence = 0;
constexpr int maxConfidence = 100;
/// Cost of a run on the most expensive model, as a share of the value of a good answer; cheaper models cost in proportion to their price.
constexpr double maxCostPenalty = 0.2;
/// Value of a late answer as a share of one on time: a compromise between services for which a late answer loses half of its value and
/// services for which it loses nearly all.
constexpr double lateValue = 0.3;
/// Relative deviation of expected times: the timeliness falls linearly while the expected time rises from 1 - timeDeviation to
/// 1 + timeDeviation of the time left.
constexpr double timeDeviation = 0.4;
/// Largest share of the remaining time that the expected time of the first model may take.
constexpr double maxFinishShare = 0.85;
/// Lengths of answers vary widely around their estimate, so the probability to complete an answer falls linearly from 1, if its expected
/// time takes the first share of the remaining time, to 0 at the second.
constexpr double certainFinishShare = 0.7;
constexpr double impossibleFinishShare = 1.3;

/// Value that the requests queued behind this one lose, relative to this request's value, if reading the prompt takes one latency
/// objective and the mean wait is also one. The factor exceeds 1, since a backlog lasts several times as long as the wait that it causes
/// and delays all requests that arrive before it is gone.
constexpr double queueingPenaltyFactor = 4;

double ratio(Duration part, Duration whole)
{
    return whole > Duration::zero() ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 2;
}

bool isFinishedInTime(const ModelOption &option, const CascadeTimes &times)
{
    return ratio(option.lastOutput, times.remaining) <= maxFinishShare;
}

/// Probability that the answer is complete before it is due.
double finishProbability(const ModelOption &option, const CascadeTimes &times)
{
    const double used = ratio(option.lastOutput, times.remaining);
    return std::clamp((impossibleFinishShare - used) / (impossibleFinishShare - certainFinishShare), 0.0, 1.0);
}

/// Expected value of a good answer, as a share of the value of one that is complete and on time.
double timeliness(const ModelOption &option, const CascadeTimes &times)
{
    const double used = ratio(option.firstOutput, times.untilObjective);
    const double late = std::clamp((used - (1 - timeDeviation)) / (2 * timeDeviation), 0.0, 1.0);
    return finishProbability(option, times) * (1 - late * (1 - lateValue));
}

/// Value that requests queued behind this one lose while the engine reads its prompt.
double queueingPenalty(const ModelOption &option, const CascadeTimes &times)
{
    return queueingPenaltyFactor * ratio(times.meanPromptWait, times.latencyObjective) * ratio(option.promptTime, times.latencyObjective);
}
} // namespace

double acceptanceProbability(double confidence)
{
    return 1 / (1 + std::exp((evenOddsConfidence - confidence) / confidenceScale));
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
    const double assumed = priorGain * static_cast<double>(steps);
    const auto known = this->estimates.find({service, smaller, larger});
    if (known == this->estimates.end()) {
        return assumed;
    }
    const Estimate &estimate = known->second;
    return (estimate.mean * estimate.samples + assumed * priorSamples) / (estimate.samples + priorSamples);
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
    const double accepted = acceptanceProbability(confidence);
    double bestValue = accepted;
    std::optional<std::size_t> best;
    for (std::size_t i = current + 1; i < options.size(); ++i) {
        const double good = acceptanceProbability(confidence + options[i].confidenceGain);
        const double value = good * timeliness(options[i], times) - maxCostPenalty * options[i].relativeCost - queueingPenalty(options[i], times);
        if (value > bestValue) {
            bestValue = value;
            best = i;
        }
    }
    return best;
}

} // namespace Godwitfork
