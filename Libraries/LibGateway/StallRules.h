#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <optional>

namespace Godwitfork
{

/// Observations of an attempt whose endpoint sends nothing.
struct StallEvidence {
    bool hasFirstEvent = false;
    /// Time since the last event, or since the request was sent.
    Duration silence = Duration::zero();
    /// Time since the endpoint last sent output to any request of any instance, as far as reported; maximal if none is known.
    Duration sinceEndpointOutput = Duration::max();

    auto operator<=>(const StallEvidence &) const = default;
};

/// Expected and maximum times from which the stall timeout is computed.
struct StallLimits {
    Duration expectedFirstOutput = Duration::zero();
    Duration latencyObjective = Duration::zero();
    Duration pauseObjective = Duration::zero();
    /// Time for the head of a plain answer if another attempt is to follow; empty for a stream.
    std::optional<Duration> plainAnswer = std::nullopt;

    auto operator<=>(const StallLimits &) const = default;
};

/// Silence after which an endpoint that sends output to no one has stalled.
Duration stallTimeout(const StallEvidence &evidence, const StallLimits &limits);
/// Whether the attempt has stalled, so that the attempt is left if the request can go on elsewhere. The timeout of a stream is longer for an engine that
/// still sends output to other requests, since it is only overloaded and reading the prompt a second time would add to the load.
bool isStalled(const StallEvidence &evidence, const StallLimits &limits);

} // namespace Godwitfork
