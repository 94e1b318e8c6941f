#pragma once

#include "Workload.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Godwitfork
{

/// Means over the repetitions of one seed.
struct RolloutResult {
    /// Requests that ran on the version after it turned bad.
    double badRequests = 0;
    /// The same for a canary of 5 % over 600 s with a one-sided test at 1 % at its end.
    double canaryBadRequests = 0;
    double noneBadRequests = 0;
    double expectedSampleNumber = 0;
    /// Share of the repetitions in which the version was still exposed after one hour.
    double missed = 0;
};

/// The version turns bad at a random time in the first 120 s of the given stage.
RolloutResult runBadVersion(const Deployment &deployment, std::uint64_t seed, std::size_t stage, int repetitions);

struct FalseAlarmResult {
    /// Share of complete roll-outs of a good version that were paused, and that were withdrawn.
    double paused = 0;
    double withdrawn = 0;
    /// Mean time until the last stage ended.
    double seconds = 0;
    /// Share of the good versions that a canary refuses.
    double canaryRefused = 0;
};

FalseAlarmResult runGoodVersion(const Deployment &deployment, std::uint64_t seed, int repetitions);

} // namespace Godwitfork
