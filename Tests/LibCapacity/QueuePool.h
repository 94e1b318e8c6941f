#pragma once

#include "LibGateway/EndpointChooser.h"

#include <string>
#include <vector>

namespace Godwitfork
{

enum class PoolKind { Equal, TwoSpeeds, HeavyTail, EarlyKnee, ChangingSpeed };
enum class ChoiceRule { RoundRobin, LeastOutstanding, TwoChoices, FixedWeights, Prequal, Before, Learned, Oracle };

constexpr PoolKind poolKinds[] = {PoolKind::Equal, PoolKind::TwoSpeeds, PoolKind::HeavyTail, PoolKind::EarlyKnee, PoolKind::ChangingSpeed};
constexpr ChoiceRule choiceRules[] = {ChoiceRule::RoundRobin,
                                      ChoiceRule::LeastOutstanding,
                                      ChoiceRule::TwoChoices,
                                      ChoiceRule::FixedWeights,
                                      ChoiceRule::Prequal,
                                      ChoiceRule::Before,
                                      ChoiceRule::Learned,
                                      ChoiceRule::Oracle};
const char *poolKindName(PoolKind kind);
const char *choiceRuleName(ChoiceRule rule);

struct PoolResult {
    /// Times until first outputs, in milliseconds.
    double median = 0;
    double p99 = 0;
    /// Share of the requests with a first output within 1 s.
    double goodput = 0;
    /// Mean over endpoints of the relative standard deviation of the requests that they get in a second.
    double oscillation = 0;
    /// Learned relative time of the first instance at the end, divided by the true one: mean of the logarithms' absolute differences.
    double estimateError = 0;
};

/// Sends seeded requests of several instances to endpoints that are queues: each reads one prompt at a time. Instances see each other's load as
/// late as through reports and summaries.
PoolResult runPool(PoolKind kind, int instances, ChoiceRule rule, std::uint64_t seed);

} // namespace Godwitfork
