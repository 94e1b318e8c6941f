#pragma once

#include "LibGateway/EndpointLoads.h"

#include <vector>

namespace Godwitfork
{

/// What occupies an endpoint: prompts that engines read one after the other, or requests that wait for one of a plain service's slots.
enum class PoolKind { Engines, Plain };

/// Load of the endpoints to which a request may be sent, as this instance knows it.
struct PoolView {
    int endpoints = 0;
    /// Number of requests that the endpoints run at once.
    int places = 0;
    /// Number of requests in progress.
    int taken = 0;
    /// Shortest expected wait at any endpoint before a new request is begun; zero if nothing is queued at some endpoint.
    Duration leastWait = Duration::zero();
    Duration meanWait = Duration::zero();

    auto operator<=>(const PoolView &) const = default;
};

/// Adds up the load of the endpoints. `serviceTime` is the expected time of one request at an idle endpoint of a plain service.
PoolView viewPool(const std::vector<const EndpointEntry *> &endpoints, const EndpointLoads &loads, PoolKind kind, Duration serviceTime);

/// Whether at least half of the places are taken, or something is queued at every endpoint.
bool isLoaded(const PoolView &view);
/// Whether the load permits a refusal: as `isLoaded`, and what was queued `age` ago cannot have been worked off since. A refusal while less than half of the
/// places are taken and nothing is queued is a fault.
bool permitsRefusal(const PoolView &view, Duration age);

} // namespace Godwitfork
