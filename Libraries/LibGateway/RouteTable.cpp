#include "LibGateway/RouteTable.h"

#include <algorithm>

namespace Godwitfork
{

RouteTable::RouteTable(std::shared_ptr<const RouteConfiguration> configuration) : routes(std::move(configuration))
{
    for (const Route &route : this->routes->routes) {
        this->byHost[route.host].push_back(&route);
    }
    for (auto &[host, candidates] : this->byHost) {
        std::stable_sort(
            candidates.begin(), candidates.end(), [](const Route *left, const Route *right) { return left->leadingPath.size() > right->leadingPath.size(); });
    }
    for (const ClientAccount &account : this->routes->accounts) {
        for (const std::string &key : account.keys) {
            // A request without a key has the empty one.
            if (!key.empty()) {
                this->byKey.emplace(key, &account);
            }
        }
    }
    for (const ServiceProperties &service : this->routes->services) {
        this->byName.emplace(service.name, &service);
    }
}

const RouteConfiguration &RouteTable::configuration() const
{
    return *this->routes;
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto candidates = this->byHost.find(host);
    if (candidates == this->byHost.end()) {
        return nullptr;
    }
    for (const Route *route : candidates->second) {
        if (path.starts_with(route->leadingPath)) {
            return route;
        }
    }
    return nullptr;
}

const ClientAccount *RouteTable::findAccount(const std::string &key) const
{
    const auto account = this->byKey.find(key);
    return account == this->byKey.end() ? nullptr : account->second;
}

const ServiceProperties *RouteTable::findService(const std::string &name) const
{
    const auto service = this->byName.find(name);
    return service == this->byName.end() ? nullptr : service->second;
}

std::string chooseService(const Route &route, double draw)
{
    double total = 0;
    for (const ServiceWeight &choice : route.services) {
        total += choice.weight;
    }
    double position = draw * total;
    for (const ServiceWeight &choice : route.services) {
        position -= choice.weight;
        if (position < 0) {
            return choice.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

} // namespace Godwitfork
