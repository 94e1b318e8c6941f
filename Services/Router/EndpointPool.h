#pragma once

#include "LibRouting/EndpointChoice.h"
#include "RouterSettings.h"
#include "RoutingSnapshot.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Endpoints of one traffic thread: the routing table and, at the same indices, the addresses. Entries are never removed,
/// because requests in flight refer to them by index; an endpoint that is no longer configured is marked as drained.
struct EndpointPool {
    RoutingSettings settings;
    EndpointTable table;
    std::vector<EndpointTarget> targets;
    /// Active endpoints by `model:version` or service name.
    std::map<std::string, std::vector<EndpointIndex>> endpointsByServedName;
};

EndpointPool makeEndpointPool(const RouterSettings &settings);

/// Adds new endpoints and drains those that are no longer active in the configuration.
void adoptSnapshot(EndpointPool &pool, const RoutingSnapshot &snapshot);

/// Chooses an endpoint that serves the `model:version` in `servedName` and is not excluded by the request. Empty if there is none.
std::optional<EndpointIndex>
chooseServingEndpoint(EndpointPool &pool, const std::string &servedName, RouteRequest request, MonotonicTime now, RandomSource &random);

/// Drains the endpoints whose addresses the platform's instance list marks as leaving. Endpoints missing from the list are not
/// drained, because the list is delayed and shows a new endpoint late.
void adoptInstanceList(EndpointPool &pool, const std::vector<std::string> &leavingAddresses);

} // namespace Godwitfork
