#pragma once

#include "LibGateway/RouteConfiguration.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace Godwitfork
{

/// Look-ups in one version of the configuration.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const RouteConfiguration> configuration);

    const RouteConfiguration &configuration() const;
    /// The host's route with the longest prefix of the path; null if none matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Null for an unknown key.
    const ClientAccount *findAccount(const std::string &key) const;
    /// Null for an unknown service.
    const ServiceProperties *findService(const std::string &name) const;

private:
    std::shared_ptr<const RouteConfiguration> routes;
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost;
    std::unordered_map<std::string, const ClientAccount *> byKey;
    std::unordered_map<std::string, const ServiceProperties *> byName;
};

/// Service of a route for a request; `draw` is uniform in [0, 1). Empty if the route names none.
std::string chooseService(const Route &route, double draw);

} // namespace Godwitfork
