#include "LibGateway/StallRules.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Timeout of the first event, in multiples of the latency objective.
constexpr int firstEventObjectives = 2;
/// Timeout of the first event, in multiples of its expected time; the longer one of the two applies.
constexpr int firstEventExpectations = 4;
/// Timeout between events, in multiples of the pause objective.
constexpr int pauseObjectives = 3;
/// Maximum age of the last output to any request for an endpoint to count as alive. Covers the time that reports of other instances take
/// in a large fleet, two report intervals, in addition to the pauses between two outputs of a busy endpoint.
constexpr Duration maxAliveOutputAge = std::chrono::milliseconds(2500);
/// Factor on the timeout for an endpoint that is alive.
constexpr int aliveExtension = 2;
} // namespace

Duration stallTimeout(const StallEvidence &evidence, const StallLimits &limits)
{
    if (limits.plainAnswer) {
        return *limits.plainAnswer;
    }
    return evidence.hasFirstEvent ? limits.pauseObjective * pauseObjectives
                                  : std::max(limits.latencyObjective * firstEventObjectives, limits.expectedFirstOutput * firstEventExpectations);
}

bool isStalled(const StallEvidence &evidence, const StallLimits &limits)
{
    const Duration limit = stallTimeout(evidence, limits);
    if (evidence.silence <= limit) {
        return false;
    }
    if (limits.plainAnswer) {
        return true;
    }
    return evidence.sinceEndpointOutput > maxAliveOutputAge || evidence.silence > limit * aliveExtension;
}

} // namespace Godwitfork
