#pragma once

#include "LibCore/Time.h"
#include "LibRouting/SlownessEstimate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Long jobs run on a bounded share of the endpoints and with low engine priority.
enum class JobLength { Short, Long };

/// Sources that have taken an endpoint out of service. Each one is set and cleared independently.
struct DrainState {
    bool byEndpoint = false;
    bool byOperator = false;
    bool byInstanceList = false;

    auto operator<=>(const DrainState &) const = default;
};

/// Load that an endpoint reported about itself. Engines report with a lag, so `sampledAt` is earlier than the arrival of the report.
struct LoadReport {
    /// Number of running and queued requests of all callers.
    int outstanding = 0;
    /// Number of requests that the engine runs concurrently.
    int slots = 1;
    MonotonicTime sampledAt;

    auto operator<=>(const LoadReport &) const = default;
};

struct OutstandingWork {
    int requests = 0;
    /// Expected number of tokens still to be generated.
    double tokens = 0;

    auto operator<=>(const OutstandingWork &) const = default;
};

/// State of one endpoint as observed by one traffic thread.
struct RoutedEndpoint {
    std::string name;
    std::string failureDomain;
    std::uint64_t nameHash = 0;
    /// Index into `EndpointTable::groups`.
    std::size_t group = 0;
    /// Position in the group by name hash; the lowest ranks take long jobs. It depends on the names alone, so all instances agree
    /// on it.
    std::size_t rank = 0;

    OutstandingWork shortWork;
    OutstandingWork longWork;
    std::optional<LoadReport> report;
    /// Number of this thread's own outstanding requests when the report arrived.
    int ownOutstandingAtReport = 0;
    SlownessEstimate slowness;
    DrainState drain;

    int consecutiveFailures = 0;
    /// End of the back-off after a failure. Until then the endpoint gets no probe, and other requests only if no other endpoint is left.
    MonotonicTime unavailableUntil;
    bool ejected = false;
    MonotonicTime nextProbe;
    int probesSinceEjection = 0;
};

/// Group of endpoints that serve the same models and are therefore expected to be equally fast.
struct EndpointGroup {
    std::string name;
    std::size_t endpoints = 0;
    /// Median of the endpoints' time per token, microseconds; 0 before the first observation.
    double medianTimePerToken = 0;
};

/// Endpoints of one traffic thread. No other thread accesses the table, so it needs no lock.
struct EndpointTable {
    std::vector<RoutedEndpoint> endpoints;
    std::vector<EndpointGroup> groups;
    std::string ownFailureDomain;
    /// Moving average of the expected tokens per request, which converts a reported number of requests to tokens.
    double meanTokens = 64;
    std::uint64_t roundRobinPosition = 0;
    int requestsSinceProbe = 0;
    MonotonicTime lastProbe;
};

using EndpointIndex = std::size_t;

EndpointIndex addEndpoint(EndpointTable &table, const std::string &name, const std::string &failureDomain, const std::string &group);
std::optional<EndpointIndex> findEndpoint(const EndpointTable &table, const std::string &name);

/// Remaining expected work of one request at its endpoint; held by the request until `finishRequest`.
struct Dispatch {
    EndpointIndex endpoint = 0;
    JobLength length = JobLength::Short;
    double expectedTokens = 0;
};

Dispatch startRequest(EndpointTable &table, EndpointIndex endpoint, JobLength length, double expectedTokens);
/// Subtracts `tokens` that arrived within `elapsed` from the expected work, and updates the endpoint's slowness estimate.
void recordProgress(EndpointTable &table, Dispatch &dispatch, int tokens, Duration elapsed, MonotonicTime now);
/// Removes the request from the endpoint's outstanding work; to be called exactly once for each `startRequest`, whatever the outcome.
void finishRequest(EndpointTable &table, const Dispatch &dispatch);

/// Clears the endpoint's failures and its back-off; to be called when it has answered.
void recordSuccess(EndpointTable &table, EndpointIndex endpoint);
/// Counts a connection that failed, timed out or stalled. The endpoint is avoided for a back-off that doubles with each consecutive
/// failure, from 250 ms to 8 s.
void recordFailure(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);
/// Stores the endpoint's load report, unless the stored one was sampled later.
void recordLoadReport(EndpointTable &table, EndpointIndex endpoint, const LoadReport &report);

bool isDraining(const RoutedEndpoint &endpoint);
int outstandingRequests(const RoutedEndpoint &endpoint);

} // namespace Godwitfork
