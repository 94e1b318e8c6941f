#pragma once

#include "LibAdministration/ConfigurationStore.h"

#include <string>

namespace Godwitfork
{

/// Sets the state of a model's version.
struct VersionStateChange {
    /// Site to change; empty means every site that has the version.
    std::string site;
    std::string model;
    std::string version;
    VersionState state = VersionState::Withdrawn;
    /// Allows the change to leave a model without a stable version, in which case all requests for the model are refused.
    bool mayLeaveNoStableVersion = false;
    /// Allows the change to make a withdrawn version usable again.
    bool mayReinstate = false;

    auto operator<=>(const VersionStateChange &) const = default;
};

/// Sets the state of an endpoint.
struct EndpointStateChange {
    /// Site to change; empty means every site that has the endpoint.
    std::string site;
    std::string endpoint;
    EndpointState state = EndpointState::Draining;

    auto operator<=>(const EndpointStateChange &) const = default;
};

/// Fails with `version_not_found`, `no_stable_version` or `version_withdrawn`.
ErrorOr<void> changeVersionState(Configuration &configuration, const VersionStateChange &change);

/// Fails with `endpoint_not_found`.
ErrorOr<void> changeEndpointState(Configuration &configuration, const EndpointStateChange &change);

/// Versions `site.model:version` that are withdrawn in `before` and usable in `after`. Detects files from before a
/// withdrawal, which would silently reinstate a bad version.
std::vector<std::string> reinstatedVersions(const Configuration &before, const Configuration &after);

} // namespace Godwitfork
