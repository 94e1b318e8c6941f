#pragma once

#include "LibCore/Random.h"
#include "LibRouting/EndpointTable.h"
#include "LibRouting/RoutingPolicy.h"

#include <optional>
#include <span>

namespace Godwitfork
{

struct RoutingSettings {
    RoutingPolicy policy = RoutingPolicy::PowerOfTwo;
    /// Share of the endpoints that take long jobs. Long jobs hold most of the work although they are few, so the
    /// default is half of the pool.
    double longJobShare = 0.5;
    /// Expected tokens from which a job counts as long.
    double longJobTokens = 1000;
};

JobLength jobLength(const RoutingSettings &settings, double expectedTokens);

struct RouteRequest {
    JobLength length = JobLength::Short;
    double expectedTokens = 0;
    /// Hash of the prompt's prefix; 0 means none.
    std::uint64_t prefixHash = 0;
    /// Tokens of the prefix that an endpoint with a cached copy need not compute.
    double prefixTokens = 0;
    /// Endpoints that serve the request's model and version; all if not set.
    std::optional<std::span<const EndpointIndex>> eligible;
    /// Endpoints that this request has tried already.
    std::span<const EndpointIndex> excluded;
};

/// Chooses an endpoint for one request. A draining, excluded or not
/// eligible endpoint is never chosen; a suspended one only as a
/// probe or when no other is left. Empty if no endpoint is left.
std::optional<EndpointIndex>
chooseEndpoint(EndpointTable &table, const RoutingSettings &settings, const RouteRequest &request, MonotonicTime now, RandomSource &random);

/// Expected time to completion in microseconds; lower is better.
double endpointScore(const EndpointTable &table, const RoutedEndpoint &endpoint, const RouteRequest &request, MonotonicTime now);

/// Whether the endpoint is in the part of its group that takes long jobs. Instances agree on it without messages,
/// because it depends on the endpoints' names alone.
bool takesLongJobs(const EndpointTable &table, const RoutingSettings &settings, EndpointIndex endpoint);

} // namespace Godwitfork
