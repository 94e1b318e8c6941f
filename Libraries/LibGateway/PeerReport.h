#pragma once

#include "LibCore/Error.h"
#include "LibGateway/Catalog.h"
#include "LibRollout/VersionTrial.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// What one instance has running at an endpoint.
struct EndpointUse {
    int running = 0;
    Duration pendingPrompts = Duration::zero();

    auto operator<=>(const EndpointUse &) const = default;
};

struct LeavingEndpoint {
    std::string id;
    std::int64_t incarnation = 0;

    auto operator<=>(const LeavingEndpoint &) const = default;
};

struct TrialReport {
    std::string service;
    std::string target;
    RolloutState state = RolloutState::Ordered;
    Duration age = Duration::zero();
    bool isBad = false;
    TrialObservations observations;

    auto operator<=>(const TrialReport &) const = default;
};

/// What an entry instance tells the others, again and again. A lost report is made good by the next one.
struct PeerReport {
    std::string instance;
    std::string address;
    /// Peer listeners of the instances that the sender has heard of lately, its own included.
    std::vector<std::string> known;
    ConfigurationVersion configuration = 0;
    std::map<std::string, EndpointUse> endpoints;
    std::vector<LeavingEndpoint> leaving;
    std::vector<TrialReport> trials;

    auto operator<=>(const PeerReport &) const = default;
};

/// CBOR of the report's fields.
std::string encodePeerReport(const PeerReport &report);
/// Fails with `malformed_report`.
ErrorOr<PeerReport> decodePeerReport(std::string_view bytes);

} // namespace Godwitfork
