#pragma once

#include "LibCapacity/CapacityEstimate.h"
#include "LibCore/DecayingSum.h"
#include "LibCore/Time.h"
#include "LibGateway/EndpointRegistry.h"
#include "LibGateway/PeerReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Godwitfork
{

/// Outcome of a request as evidence of the endpoint's health.
enum class EndpointResult {
    Success,
    /// The endpoint answered with an error, an incomplete answer or a malformed one.
    Failure,
    /// The connection failed, or the endpoint did not answer in time.
    NoResponse,
    /// The endpoint refused the request to shed load.
    Shed,
    /// The caller disconnected or the router ended the request; no evidence of the endpoint's health.
    Ended,
};

/// Which averages an observation of an endpoint's speed updates.
enum class ObservationUse {
    /// The endpoint's and the service's.
    Service,
    /// Only the endpoint's; a version under trial is compared with the service's averages.
    Endpoint,
};

/// Load and health of one incarnation of an endpoint.
struct EndpointLoad {
    EndpointLoad();

    /// Number of this instance's requests in progress at the endpoint.
    int running = 0;
    /// Expected time to read the prompts of this instance's requests that have no output yet.
    Duration pendingPromptTime = Duration::zero();
    /// Slowdown of this instance's requests: the seconds observed until first outputs (sum) over those expected at the learned speed, or at nominal
    /// speed if none is learned (weight).
    DecayingSum firstOutputTimes;
    /// Failure share of this instance's requests: the number of failed ones (sum) over that of answered and failed ones (weight).
    DecayingSum failures;
    /// Learned speed; stays at the service's mean unless capacity is learned.
    CapacityEstimate capacity;
    /// Usage of the endpoint by all other entry instances together.
    EndpointUsage peers;
    /// Number of requests without a response since the last success.
    int consecutiveNoResponses = 0;
    /// End of the back-off after the last request without a response.
    MonotonicTime avoidUntil;
    /// Time of the newest output to any request of this instance.
    MonotonicTime lastOutput;
    /// Time of the newest output to any request of the other instances, as far as reported.
    MonotonicTime lastPeerOutput;

    /// Time since the newest output to any request of any instance; maximal if none is known.
    Duration sinceFleetOutput(MonotonicTime now) const;
    /// Failure share over all instances.
    ObservationSum fleetFailures(MonotonicTime now) const;
    /// Number of requests of all instances in progress at the endpoint.
    int concurrentRequests() const;
    /// Expected time to read the queued prompts of all instances.
    Duration waitingPromptTime() const;
    /// Whether the endpoint is in back-off after requests without a response.
    bool isAvoided(MonotonicTime now) const;
};

/// Identifies one request in progress at an endpoint, from `begin` to `end`.
struct LoadTicket {
    std::string endpoint;
    std::string service;
    /// Expected time to read the prompt.
    Duration expectedPrompt = Duration::zero();
    /// Whether the request has no output yet.
    bool isWaiting = true;
};

/// Load and health of all endpoints, from this instance's requests and the other instances' reports.
class EndpointLoads
{
public:
    /// Whether the speed of each endpoint is learned and exchanged with the other instances.
    void setLearnsCapacity(bool learns);
    bool learnsCapacity() const;
    /// Time that the endpoint takes relative to its service's mean; 1 unless capacity is learned.
    double relativeTime(const EndpointLoad &load, MonotonicTime now) const;
    LoadTicket begin(const EndpointEntry &endpoint, Duration expectedPrompt);
    /// Records the time until the first output; `expected` is the time at an endpoint of nominal speed.
    void recordFirstOutput(LoadTicket &ticket, Duration elapsed, Duration expected, MonotonicTime now, ObservationUse use = ObservationUse::Service);
    void recordOutput(const std::string &endpoint, MonotonicTime now);
    void end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now);

    /// Returns the load of an endpoint; an empty load if the endpoint is unknown.
    const EndpointLoad &find(const std::string &endpoint) const;
    /// Returns the load of an endpoint and creates it if the endpoint is unknown.
    EndpointLoad &getOrCreate(const std::string &endpoint);
    void forget(const std::string &endpoint);
    /// Observed over expected time until first outputs, at all endpoints of a service and over all instances: a mean with exponential
    /// decay.
    double meanSlowdown(const std::string &service, MonotonicTime now) const;
    /// Mean time that requests to a service waited in the queue before their own prompt was read, over all instances: a mean with
    /// exponential decay.
    Duration meanPromptWait(const std::string &service, MonotonicTime now) const;
    /// First outputs from the service's endpoints to requests of the other instances, per second.
    double peerRequestsPerSecond(const std::string &service) const;
    /// Replaces the other instances' usage by endpoint and statistics by service.
    void setPeerUsage(const EndpointUsageMap &usage, const ServiceStatisticsMap &statistics, MonotonicTime now);
    /// Time since the other instances' usage was last set; maximal if it never was.
    Duration summaryAge(MonotonicTime now) const;
    /// Returns this instance's usage by endpoint, without endpoints that have no running request, no recent output
    /// and no considerable failures.
    EndpointUsageMap ownUsage(MonotonicTime now) const;
    /// Returns this instance's statistics by service.
    ServiceStatisticsMap ownStatistics(MonotonicTime now) const;

private:
    struct DecayingStatistics {
        DecayingStatistics();
        ServiceStatistics valueAt(MonotonicTime now) const;

        DecayingSum slowdown;
        DecayingSum promptWaits;
    };

    ServiceStatistics fleetStatistics(const std::string &service, MonotonicTime now) const;

    bool isLearning = false;
    std::unordered_map<EndpointKey, EndpointLoad> loads;
    std::map<std::string, DecayingStatistics> statistics;
    ServiceStatisticsMap peerStatistics;
    /// Time at which usage of other instances was last set; empty before the first time.
    std::optional<MonotonicTime> peerUsageSetAt;
};

} // namespace Godwitfork
