#include "LibOverload/PoolView.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
Duration waitAt(const EndpointEntry &endpoint, const EndpointLoad &load, PoolKind kind, Duration serviceTime)
{
    if (kind == PoolKind::Engines) {
        return load.waitingPromptTime();
    }
    const int slots = std::max(1, endpoint.slots);
    const int queued = load.concurrentRequests() - slots + 1;
    return queued > 0 ? serviceTime * queued / slots : Duration::zero();
}
} // namespace

PoolView viewPool(const std::vector<const EndpointEntry *> &endpoints, const EndpointLoads &loads, PoolKind kind, Duration serviceTime)
{
    PoolView view;
    Duration total = Duration::zero();
    for (const EndpointEntry *endpoint : endpoints) {
        const EndpointLoad &load = loads.find(endpoint->id);
        const Duration wait = waitAt(*endpoint, load, kind, serviceTime);
        view.leastWait = view.endpoints == 0 ? wait : std::min(view.leastWait, wait);
        total += wait;
        ++view.endpoints;
        view.places += std::max(1, endpoint->slots);
        view.taken += load.concurrentRequests();
    }
    if (view.endpoints > 0) {
        view.meanWait = total / view.endpoints;
    }
    return view;
}

bool isLoaded(const PoolView &view)
{
    return view.endpoints > 0 && (2 * view.taken >= view.places || view.leastWait > Duration::zero());
}

bool permitsRefusal(const PoolView &view, Duration age)
{
    return isLoaded(view) && (2 * view.taken >= view.places || view.meanWait > age);
}

} // namespace Godwitfork
