#pragma once

#include "LibAdministration/ConfigurationStore.h"

#include <string>

namespace Godwitfork
{

/// Selects the sites of a change; empty means every site that has the model or endpoint.
struct VersionStateChange {
    std::string site;
    std::string model;
    std::string version;
    VersionState state = VersionState::Withdrawn;
    /// Allows the change to leave a model without a stable version, which refuses all its requests.
    bool mayLeaveNoStableVersion = false;
    /// Allows a withdrawn version to return.
    bool mayReinstate = false;

    auto operator<=>(const VersionStateChange &) const = default;
};

struct EndpointStateChange {
    std::string site;
    std::string endpoint;
    EndpointState state = EndpointState::Draining;

    auto operator<=>(const EndpointStateChange &) const = default;
};

/// Fails with `version_not_found`, `no_stable_version` or `version_withdrawn`.
ErrorOr<void> changeVersionState(Configuration &configuration, const VersionStateChange &change);

/// Fails with `endpoint_not_found`.
ErrorOr<void> changeEndpointState(Configuration &configuration, const EndpointStateChange &change);

/// Versions `site.model:version` that are withdrawn in `before` and usable in `after`. An operator who applies files that
/// are older than a withdrawal would bring a bad version back without noticing.
std::vector<std::string> reinstatedVersions(const Configuration &before, const Configuration &after);

} // namespace Godwitfork
