#pragma once

#include "LibCore/Time.h"
#include "LibGateway/DecayingSum.h"
#include "LibGateway/EndpointRegistry.h"
#include "LibGateway/PeerReport.h"

#include <cstdint>
#include <map>
#include <string>

namespace Godwitfork
{

/// How a request at an endpoint ended, as far as it tells about the endpoint.
enum class EndpointResult {
    Success,
    /// The endpoint answered with an error, broke off its answer or sent something that is no answer.
    Failure,
    /// No connection, or no answer in time.
    NoResponse,
    /// The endpoint refused the request.
    Shed,
    /// The caller left or the router ended the request; says nothing about the endpoint.
    Ended,
};

/// Load and health of one incarnation of an endpoint.
struct EndpointLoad {
    EndpointLoad();

    /// Own requests that have not ended.
    int running = 0;
    /// Expected time of the prompts that own requests still wait for.
    Duration pendingPrompts = Duration::zero();
    /// Seconds until own first outputs, over the seconds that were expected at an endpoint of nominal speed.
    DecayingSum times;
    /// Own failures, over own answers and failures.
    DecayingSum failures;
    /// Of the other entry instances.
    EndpointUsage peers;
    int consecutiveSilences = 0;
    MonotonicTime avoidUntil;
    /// Newest output of any own request.
    MonotonicTime lastOutput;

    ObservationSum fleetFailures(MonotonicTime now) const;
    int requestsBeside() const;
    Duration waitingPrompts() const;
};

/// One request at an endpoint; kept until `end`.
struct LoadTicket {
    std::string endpoint;
    std::string service;
    Duration expectedPrompt = Duration::zero();
    bool isWaiting = true;
};

/// Load and health of all endpoints, from the router's own requests and from what the other instances report.
class EndpointLoads
{
public:
    LoadTicket begin(const EndpointEntry &endpoint, Duration expectedPrompt);
    /// The first output arrived; `expected` is the time that an endpoint of nominal speed would have taken.
    void recordFirstOutput(LoadTicket &ticket, Duration elapsed, Duration expected, MonotonicTime now);
    void recordOutput(const std::string &endpoint, MonotonicTime now);
    void end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now);

    /// A load without history for an unknown endpoint.
    const EndpointLoad &find(const std::string &endpoint) const;
    EndpointLoad &at(const std::string &endpoint);
    void forget(const std::string &endpoint);
    const std::map<std::string, EndpointLoad> &all() const;
    /// Observed over expected time of late, at all endpoints of a service and of all instances.
    double meanSlowdown(const std::string &service, MonotonicTime now) const;
    /// Time that requests to a service waited of late before their own prompt was read, the mean of all instances.
    Duration meanPromptWait(const std::string &service, MonotonicTime now) const;
    /// Replaces what the other instances have running and saw, by endpoint and by service.
    void setPeerUsage(const EndpointUsageMap &use, const ServiceStatisticsMap &statistics);
    /// What this instance has running and saw, without endpoints that it has not used of late.
    EndpointUsageMap ownUsage(MonotonicTime now) const;
    ServiceStatisticsMap ownStatistics(MonotonicTime now) const;
    bool isAvoided(const std::string &endpoint, MonotonicTime now) const;

private:
    struct FadingPace {
        FadingPace();
        ServiceStatistics at(MonotonicTime now) const;

        DecayingSum slowness;
        DecayingSum waits;
    };

    ServiceStatistics paceOfAll(const std::string &service, MonotonicTime now) const;

    std::map<std::string, EndpointLoad> loads;
    std::map<std::string, FadingPace> statistics;
    ServiceStatisticsMap peerPaces;
};

} // namespace Godwitfork
