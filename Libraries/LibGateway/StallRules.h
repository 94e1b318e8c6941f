#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// What is known about a stream that sends nothing.
struct StallEvidence {
    bool hasFirstEvent = false;
    /// Time since the last event, or since the request was sent.
    Duration silence = Duration::zero();
    /// Time since the endpoint's last output to any other request of this process.
    Duration sinceEndpointOutput = Duration::max();

    auto operator<=>(const StallEvidence &) const = default;
};

struct StallLimits {
    Duration expectedFirstOutput = Duration::zero();
    Duration latencyObjective = Duration::zero();
    Duration pauseObjective = Duration::zero();

    auto operator<=>(const StallLimits &) const = default;
};

/// Whether the stream is given up and, where that is allowed, continued elsewhere. An overloaded engine that still produces
/// output for others is waited for longer than one that is silent altogether, since a second prompt would add to the load.
bool isStalled(const StallEvidence &evidence, const StallLimits &limits);

} // namespace Godwitfork
