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
/// since requests in flight hold their index; an endpoint that left the configuration counts as drained.
struct EndpointPool {
    RoutingSettings settings;
    EndpointTable table;
    std::vector<EndpointTarget> targets;
    std::map<std::string, std::vector<EndpointIndex>> byServed;
};

EndpointPool makeEndpointPool(const RouterSettings &settings);

/// Adds new endpoints and drains those that the configuration no longer lists as active.
void adoptSnapshot(EndpointPool &pool, const RoutingSnapshot &snapshot);

/// Chooses an endpoint that serves `model:version` and is not excluded.
std::optional<EndpointIndex> chooseServing(EndpointPool &pool, const std::string &served, RouteRequest request, MonotonicTime now, RandomSource &random);

/// Takes in the addresses that the platform's instance list calls leaving. Addresses that are missing from the list are
/// not drained, since the list lags and a new endpoint appears late.
void adoptInstanceList(EndpointPool &pool, const std::vector<std::string> &leavingAddresses);

} // namespace Godwitfork
