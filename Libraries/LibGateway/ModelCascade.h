#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Godwitfork
{

/// Probability, 0 to 1, that an answer is acceptable, given the confidence from 0 to 100 that its model reports.
double acceptanceProbability(double confidence);

/// One model's reported confidence in its answer to a request.
struct ModelConfidence {
    std::string model;
    int confidence = 0;

    auto operator<=>(const ModelConfidence &) const = default;
};

/// Difference between the confidences of a larger and a smaller model on the same request, estimated from escalated requests.
class ConfidenceGains
{
public:
    void record(const std::string &service, const ModelConfidence &smaller, const ModelConfidence &larger);
    /// Expected difference of the larger model's confidence to the smaller one's, in points of 0 to 100. `steps` is the number of steps
    /// between the two in the route's list of models; the prior is proportional to it.
    double gain(const std::string &service, const std::string &smaller, const std::string &larger, std::size_t steps) const;

private:
    struct Estimate {
        double mean = 0;
        int samples = 0;
    };

    /// Estimates by service, smaller model and larger model.
    std::map<std::tuple<std::string, std::string, std::string>, Estimate> estimates;
};

/// Expected quality, cost and times of a request on one model.
struct ModelOption {
    /// Expected difference of the model's confidence to the current model's on the same request, in points of 0 to 100.
    double confidenceGain = 0;
    /// Price as a share of the route's most expensive model's price, 0 to 1.
    double relativeCost = 1;
    /// Expected time until the first output.
    Duration firstOutput = Duration::zero();
    /// Expected time until the answer is complete.
    Duration lastOutput = Duration::zero();
    /// Expected time for which the engine reads the request's prompt; requests queued behind it wait for that long.
    Duration promptTime = Duration::zero();
};

struct CascadeTimes {
    /// Time from the request's start within which the first output is on time.
    Duration latencyObjective = Duration::zero();
    /// Time left until the latency objective is missed.
    Duration untilObjective = Duration::zero();
    /// Time left until the deadline of the complete answer.
    Duration remaining = Duration::zero();
    /// Decayed mean time that requests to the service wait in the queue before their prompt is read.
    Duration meanPromptWait = Duration::zero();
};

/// Returns the index of the model to start with: the smallest one that is expected to complete its answer in time, 0 if none is. Larger
/// models are reached by escalation.
std::size_t firstModel(const std::vector<ModelOption> &options, const CascadeTimes &times);

/// Returns the index of the model to which a request is escalated before its answer is sent to the caller; empty if the answer is to be
/// delivered. `options` holds the route's models, smallest first, with the times that an escalation would take from now on.
std::optional<std::size_t> escalation(const std::vector<ModelOption> &options, std::size_t current, int confidence, const CascadeTimes &times);

} // namespace Godwitfork
