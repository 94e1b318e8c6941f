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

/// Who took an endpoint out of service. Each source is set and cleared on its own.
struct DrainState {
    bool byEndpoint = false;
    bool byOperator = false;
    bool byInstanceList = false;

    auto operator<=>(const DrainState &) const = default;
};

/// What an endpoint said about itself. The sample is older than its arrival, because engines report with a lag.
struct LoadReport {
    /// Running and queued requests of all callers.
    int outstanding = 0;
    /// Requests that the engine runs at once.
    int slots = 1;
    MonotonicTime sampledAt;

    auto operator<=>(const LoadReport &) const = default;
};

struct OutstandingWork {
    int requests = 0;
    /// Expected tokens still to be generated.
    double tokens = 0;

    auto operator<=>(const OutstandingWork &) const = default;
};

/// One endpoint as one traffic thread sees it.
struct RoutedEndpoint {
    std::string name;
    std::string failureDomain;
    std::uint64_t nameHash = 0;
    /// Index into `EndpointTable::groups`.
    std::size_t group = 0;
    /// Position in the group by name hash; the first ones take long jobs. It depends on the names alone, so instances agree on it.
    std::size_t rank = 0;

    OutstandingWork shortWork;
    OutstandingWork longWork;
    std::optional<LoadReport> report;
    /// Own outstanding requests when the report arrived.
    int ownAtReport = 0;
    SlownessEstimate slowness;
    DrainState drain;

    int consecutiveFailures = 0;
    /// No request but probes goes to the endpoint before this time.
    MonotonicTime unavailableUntil;
    bool ejected = false;
    MonotonicTime nextProbe;
    int probesSinceEjection = 0;
};

/// Endpoints that serve the same models and are therefore expected to be equally fast.
struct EndpointGroup {
    std::string name;
    std::size_t endpoints = 0;
    /// Median time per token over the endpoints, microseconds; 0 before the first observation.
    double usualTimePerToken = 0;
};

/// The endpoints of one traffic thread. No other thread sees the table, so it needs no lock.
struct EndpointTable {
    std::vector<RoutedEndpoint> endpoints;
    std::vector<EndpointGroup> groups;
    std::string ownFailureDomain;
    /// Moving mean of the expected tokens of a request; converts reported requests to work.
    double meanTokens = 64;
    std::uint64_t roundRobinPosition = 0;
    int requestsSinceProbe = 0;
    MonotonicTime lastProbe;
};

using EndpointIndex = std::size_t;

EndpointIndex addEndpoint(EndpointTable &table, const std::string &name, const std::string &failureDomain, const std::string &group);
std::optional<EndpointIndex> findEndpoint(const EndpointTable &table, const std::string &name);

/// Work that one request was expected to bring; kept by the request until `finishRequest`.
struct Dispatch {
    EndpointIndex endpoint = 0;
    JobLength length = JobLength::Short;
    double expectedTokens = 0;
};

Dispatch startRequest(EndpointTable &table, EndpointIndex endpoint, JobLength length, double expectedTokens);
/// Takes tokens off the expected work as they arrive.
void recordProgress(EndpointTable &table, Dispatch &dispatch, int tokens, Duration elapsed, MonotonicTime now);
/// To be called exactly once for each `startRequest`, whatever the outcome.
void finishRequest(EndpointTable &table, const Dispatch &dispatch);

/// The endpoint answered, so earlier failures no longer count.
void recordSuccess(EndpointTable &table, EndpointIndex endpoint);
/// A connection failed, timed out or went silent. The endpoint is avoided for a time that doubles with each failure.
void recordFailure(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);
/// Ignores a report that is older than the one held.
void recordLoadReport(EndpointTable &table, EndpointIndex endpoint, const LoadReport &report);

bool isDraining(const RoutedEndpoint &endpoint);
int outstandingRequests(const RoutedEndpoint &endpoint);

} // namespace Godwitfork
