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
    /// Share of a group's endpoints that take long jobs, 0 to 1. Long jobs are few but make up most of the work, so the default
    /// is half.
    double longJobShare = 0.5;
    /// Number of expected tokens from which a job counts as long.
    double longJobTokens = 1000;
};

JobLength jobLength(const RoutingSettings &settings, double expectedTokens);

struct RouteRequest {
    JobLength length = JobLength::Short;
    /// Expected number of tokens that the request generates.
    double expectedTokens = 0;
    /// Hash of the prompt's prefix; 0 if the prompt has none.
    std::uint64_t prefixHash = 0;
    /// Number of prefix tokens whose prefill an endpoint with a cached copy skips.
    double prefixTokens = 0;
    /// Endpoints that serve the request's model and version; all endpoints if not set.
    std::optional<std::span<const EndpointIndex>> eligible;
    /// Endpoints that this request has tried already.
    std::span<const EndpointIndex> excluded;
};

/// Chooses an endpoint for one request; empty if none is left. An endpoint that is draining, excluded or not eligible is never
/// chosen. With `PowerOfTwo`, a suspended endpoint is chosen only as a probe or if no other is left; the baseline policies ignore
/// suspension.
std::optional<EndpointIndex>
chooseEndpoint(EndpointTable &table, const RoutingSettings &settings, const RouteRequest &request, MonotonicTime now, RandomSource &random);

/// Expected time until the request completes at the endpoint, in microseconds; lower is better.
double endpointScore(const EndpointTable &table, const RoutedEndpoint &endpoint, const RouteRequest &request, MonotonicTime now);

/// Whether the endpoint is in the part of its group that takes long jobs. The answer depends on the endpoints' names alone, so all
/// instances agree on it without exchanging messages.
bool takesLongJobs(const EndpointTable &table, const RoutingSettings &settings, EndpointIndex endpoint);

} // namespace Godwitfork
