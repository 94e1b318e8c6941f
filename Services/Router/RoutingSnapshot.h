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

/// `PlainService` if the endpoint serves a configured service.
EndpointKind kindOf(const Endpoint &endpoint, const SiteConfiguration &site);

/// Endpoint with its parsed address.
struct EndpointTarget {
    std::string name;
    HttpAddress address;
    std::string failureDomain;
    FencingSupport fencing = FencingSupport::Ignored;
    EndpointKind kind = EndpointKind::Engine;

    auto operator<=>(const EndpointTarget &) const = default;
};

/// Immutable view of one configuration revision, made by the control thread and read by the traffic threads.
class RoutingSnapshot
{
public:
    RoutingSnapshot(std::uint64_t revision, SiteConfiguration site);

    std::uint64_t revision() const;
    const SiteConfiguration &site() const;
    /// Account that owns the API key, or null. Takes the same time for every key.
    const ClientAccount *accountOfKey(std::string_view key) const;
    /// Endpoints in state `Active` that serve a `model:version` or a service.
    const std::vector<EndpointTarget> &endpointsOf(const std::string &served) const;

private:
    std::uint64_t revisionNumber;
    SiteConfiguration configuration;
    std::map<std::string, std::vector<EndpointTarget>> endpointsByServed;
};

using SnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

} // namespace Godwitfork
