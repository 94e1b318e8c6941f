#include "LibCore/Log.h"
#include "LibEntry/RequestRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

PlacementObstacle RequestRun::placementObstacle(const EndpointEntry &endpoint) const
{
    HomeRegions home {this->route->homeRegions, {}};
    if (this->account) {
        home.ofAccount = this->account->homeRegions;
    }
    return findPlacementObstacle(endpoint.failureDomain, this->state.failureDomains, home);
}

std::size_t RequestRun::serviceEndpointCount() const
{
    if (!this->state.chooser.loads().learnsCapacity()) {
        return 0;
    }
    // No request uses the endpoints of evacuated domains, so what all send goes to the others.
    const std::vector<const EndpointEntry *> ready = this->state.endpoints.ready(this->service);
    const auto isOpen = [this](const EndpointEntry *endpoint) { return !this->state.failureDomains.evacuated.contains(endpoint->failureDomain); };
    return static_cast<std::size_t>(std::count_if(ready.begin(), ready.end(), isOpen));
}

void RequestRun::recordPlacementRefusal()
{
    PlacementCounts counts;
    for (const EndpointEntry *endpoint : this->state.endpoints.ready(this->service)) {
        counts.add(this->placementObstacle(*endpoint));
    }
    const PlacementObstacle cause = counts.refusalCause();
    if (cause == PlacementObstacle::None) {
        return;
    }
    this->reason = placementObstacleName(cause);
    logEvent(LogLevel::Warning,
             "placement.refused",
             {{"request", this->gatewayRequest.id},
              {"service", this->service},
              {"route", this->route->name},
              {"account", this->account ? this->account->name : ""},
              {"cause", placementObstacleName(cause)},
              {"evacuated", counts.evacuated},
              {"other_region", counts.otherRegion},
              {"unknown_region", counts.unknownRegion},
              {"attempts", this->progress.arrivals}});
    this->context.metrics.recordPlacementRefusal(this->service, placementObstacleName(cause));
}

} // namespace Godwitfork
