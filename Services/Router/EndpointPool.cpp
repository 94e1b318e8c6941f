#include "EndpointPool.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Finds the entry with the same name and address. An endpoint whose address has changed gets a new entry, because the
/// measurements of the old one do not apply to it.
std::optional<EndpointIndex> findTarget(const EndpointPool &pool, const Endpoint &endpoint)
{
    const HttpAddress address = parseHttpAddress(endpoint.address);
    for (EndpointIndex index = 0; index < pool.targets.size(); ++index) {
        if (pool.targets[index].name == endpoint.name && pool.targets[index].address == address) {
            return index;
        }
    }
    return std::nullopt;
}

/// Name of the group of endpoints that serve exactly the same models and versions.
std::string groupName(const Endpoint &endpoint)
{
    std::vector<std::string> serves = endpoint.serves;
    std::sort(serves.begin(), serves.end());
    std::string name;
    for (const std::string &servedName : serves) {
        name += servedName + "\n";
    }
    return name;
}

EndpointIndex addTarget(EndpointPool &pool, const Endpoint &endpoint, EndpointKind kind)
{
    pool.targets.push_back({endpoint.name, parseHttpAddress(endpoint.address), endpoint.failureDomain, endpoint.fencing, kind});
    return addEndpoint(pool.table, endpoint.name, endpoint.failureDomain, groupName(endpoint));
}
} // namespace

EndpointPool makeEndpointPool(const RouterSettings &settings)
{
    EndpointPool pool;
    pool.settings = settings.routing;
    pool.table.ownFailureDomain = settings.failureDomain;
    return pool;
}

void adoptSnapshot(EndpointPool &pool, const RoutingSnapshot &snapshot)
{
    for (RoutedEndpoint &endpoint : pool.table.endpoints) {
        endpoint.drain.byOperator = true;
    }
    pool.endpointsByServedName.clear();
    for (const auto &[name, endpoint] : snapshot.site().endpoints) {
        if (endpoint.state != EndpointState::Active) {
            continue;
        }
        const auto existing = findTarget(pool, endpoint);
        const EndpointIndex index = existing ? *existing : addTarget(pool, endpoint, kindOf(endpoint, snapshot.site()));
        pool.table.endpoints[index].drain.byOperator = false;
        for (const std::string &servedName : endpoint.serves) {
            pool.endpointsByServedName[servedName].push_back(index);
        }
    }
}

std::optional<EndpointIndex>
chooseServingEndpoint(EndpointPool &pool, const std::string &servedName, RouteRequest request, MonotonicTime now, RandomSource &random)
{
    const auto serving = pool.endpointsByServedName.find(servedName);
    if (serving == pool.endpointsByServedName.end()) {
        return std::nullopt;
    }
    request.eligible = serving->second;
    return chooseEndpoint(pool.table, pool.settings, request, now, random);
}

void adoptInstanceList(EndpointPool &pool, const std::vector<std::string> &leavingAddresses)
{
    for (EndpointIndex index = 0; index < pool.targets.size(); ++index) {
        const std::string address = toText(pool.targets[index].address);
        const bool isLeaving = std::find(leavingAddresses.begin(), leavingAddresses.end(), address) != leavingAddresses.end();
        pool.table.endpoints[index].drain.byInstanceList = isLeaving;
    }
}

} // namespace Godwitfork
