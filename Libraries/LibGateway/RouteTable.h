#pragma once

#include "LibGateway/RouteConfiguration.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace Godwitfork
{

/// Index of one version of the configuration by host, key and service name.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const RouteConfiguration> configuration);

    const RouteConfiguration &configuration() const;
    /// Returns the host's route whose prefix of the path is the longest; null if none matches.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the account with the API key; null for an unknown or empty key.
    const ClientAccount *findAccount(const std::string &key) const;
    /// Returns the properties of a service; null for an unknown name.
    const ServiceProperties *findService(const std::string &name) const;

private:
    std::shared_ptr<const RouteConfiguration> routes;
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost;
    std::unordered_map<std::string, const ClientAccount *> byKey;
    std::unordered_map<std::string, const ServiceProperties *> byName;
};

/// Chooses one of the route's services by weight for `draw`, which is uniform in [0, 1). Empty if the route has no services.
std::string chooseService(const Route &route, double draw);

} // namespace Godwitfork
