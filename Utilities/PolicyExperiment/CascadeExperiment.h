#pragma once

#include "Workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Result of one policy over one run.
struct PolicyResult {
    std::string policy;
    double cost = 0;
    int accountsAtTarget = 0;
    /// Smallest difference between an account's mean quality and its target.
    double smallestMargin = 0;
    /// Share of the cost that exploring requests caused beyond the reversed decision.
    double explorationCostShare = 0;
};

/// Runs all policies on the same draws. The oracle policies come last.
std::vector<PolicyResult> runCascadeExperiment(const Deployment &deployment, std::uint64_t seed, int requests);

} // namespace Godwitfork
