#include "LibGateway/StallRules.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Silence before the first event, in multiples of the objective and of the expected time.
constexpr int firstEventObjectives = 2;
constexpr int firstEventExpectations = 4;
/// Silence between events, in multiples of the pause that is still on time.
constexpr int pauseObjectives = 3;
/// An endpoint with output this recent is alive.
constexpr Duration recentOutput = std::chrono::milliseconds(800);
/// Extension for an endpoint that is alive.
constexpr int aliveFactor = 2;
} // namespace

bool isStalled(const StallEvidence &evidence, const StallLimits &limits)
{
    const Duration limit = evidence.hasFirstEvent
        ? limits.pauseObjective * pauseObjectives
        : std::max(limits.latencyObjective * firstEventObjectives, limits.expectedFirstOutput * firstEventExpectations);
    if (evidence.silence <= limit) {
        return false;
    }
    return evidence.sinceEndpointOutput > recentOutput || evidence.silence > limit * aliveFactor;
}

} // namespace Godwitfork
