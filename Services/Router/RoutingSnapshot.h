#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibHttp/HttpMessage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

enum class EndpointKind { Engine, PlainService };

/// Returns `PlainService` if the endpoint serves a service of the site, otherwise `Engine`.
EndpointKind kindOf(const Endpoint &endpoint, const SiteConfiguration &site);

/// Endpoint of the configuration with its parsed address.
struct EndpointTarget {
    std::string name;
    HttpAddress address;
    std::string failureDomain;
    FencingSupport fencing = FencingSupport::Ignored;
    EndpointKind kind = EndpointKind::Engine;

    auto operator<=>(const EndpointTarget &) const = default;
};

/// Immutable view of one revision of a site's configuration, created by the control thread and read by the traffic threads.
class RoutingSnapshot
{
public:
    RoutingSnapshot(std::uint64_t revision, SiteConfiguration site);

    std::uint64_t revision() const;
    const SiteConfiguration &site() const;
    /// Returns the account that owns the API key, or null. The time taken does not depend on the key, to prevent timing attacks.
    const ClientAccount *findAccountByKey(std::string_view key) const;
    /// Returns the active endpoints that serve a `model:version` or a service.
    const std::vector<EndpointTarget> &endpointsServing(const std::string &servedName) const;

private:
    std::uint64_t revisionNumber;
    SiteConfiguration configuration;
    std::map<std::string, std::vector<EndpointTarget>> endpointsByServedName;
};

using SnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

} // namespace Godwitfork
