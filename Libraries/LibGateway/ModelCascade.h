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

/// Probability that an answer is good enough, from the confidence between 0 and 100 that its model reports.
double acceptability(double confidence);

/// One model's reported confidence in its answer to a request.
struct ModelConfidence {
    std::string model;
    int confidence = 0;

    auto operator<=>(const ModelConfidence &) const = default;
};

/// How much more confident larger models are about the same request, learned from escalated answers.
class ConfidenceGains
{
public:
    void record(const std::string &service, const ModelConfidence &smaller, const ModelConfidence &larger);
    /// Points that the larger model's confidence lies above the smaller one's. `steps` is the number of sizes between them; it
    /// gives the assumption before the first report.
    double gain(const std::string &service, const std::string &smaller, const std::string &larger, std::size_t steps) const;

private:
    struct Estimate {
        double mean = 0;
        int samples = 0;
    };

    /// By service, smaller and larger model.
    std::map<std::tuple<std::string, std::string, std::string>, Estimate> estimates;
};

/// One model that a request could run on, as seen now.
struct ModelOption {
    /// Points that its confidence is expected to lie above the current model's, for the same request.
    double confidenceGain = 0;
    /// Price relative to the dearest model of the route.
    double relativeCost = 1;
    Duration firstOutput = Duration::zero();
    Duration lastOutput = Duration::zero();
    /// Time for which the engine reads the request's prompt and lets others wait.
    Duration promptTime = Duration::zero();
};

struct CascadeTimes {
    /// Time within which a first output is on time, from the request's start.
    Duration latencyObjective = Duration::zero();
    /// Time left until the first output is late.
    Duration untilObjective = Duration::zero();
    /// Time left until the final answer is due.
    Duration remaining = Duration::zero();
    /// Time that requests to the service waited of late before their prompt was read.
    Duration meanPromptWait = Duration::zero();
};

/// Model to start with: the smallest one that is expected to finish in time; the others are reached by escalation. 0 if none
/// is expected to finish.
std::size_t firstModel(const std::vector<ModelOption> &options, const CascadeTimes &times);

/// Model to which an answer that has not reached the caller is escalated; empty to deliver the answer. `options` holds the
/// route's models, smallest first, with the times that an escalation would take from now on.
std::optional<std::size_t> escalation(const std::vector<ModelOption> &options, std::size_t current, int confidence, const CascadeTimes &times);

} // namespace Godwitfork
