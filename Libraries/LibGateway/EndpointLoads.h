#pragma once

#include "LibCore/Time.h"
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
    Silent,
    /// The endpoint refused the request.
    Shed,
    /// The caller left or the router ended the request; says nothing about the endpoint.
    Ended,
};

/// Load and health of one incarnation of an endpoint.
struct EndpointLoad {
    /// Own requests that have not ended.
    int running = 0;
    /// Expected time of the prompts that own requests still wait for.
    Duration pendingPrompts = Duration::zero();
    /// The same of the other entry instances.
    int peerRunning = 0;
    Duration peerPendingPrompts = Duration::zero();
    /// Observed time over expected time, a moving mean.
    double slowness = 1;
    /// Share of failures, a moving mean.
    double failureShare = 0;
    int consecutiveSilences = 0;
    MonotonicTime avoidUntil;
    /// Newest output of any own request.
    MonotonicTime lastOutput;
};

/// One request at an endpoint; kept until `end`.
struct LoadTicket {
    std::string endpoint;
    std::string service;
    Duration expectedPrompt = Duration::zero();
    bool isWaiting = true;
};

/// Load and health of all endpoints, from the router's own requests.
class EndpointLoads
{
public:
    LoadTicket begin(const EndpointEntry &endpoint, Duration expectedPrompt);
    /// The first output arrived; `expected` is the time that was predicted for it.
    void firstOutput(LoadTicket &ticket, Duration elapsed, Duration expected);
    /// Observed time over expected time of all endpoints of a service, a moving mean. It grows faster than the endpoints' own
    /// slowness where each of many instances sees few requests of each endpoint.
    double congestion(const std::string &service) const;
    void recordOutput(const std::string &endpoint, MonotonicTime now);
    void end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now);

    /// A load without history for an unknown endpoint.
    const EndpointLoad &find(const std::string &endpoint) const;
    EndpointLoad &at(const std::string &endpoint);
    void forget(const std::string &endpoint);
    const std::map<std::string, EndpointLoad> &all() const;
    /// Replaces what the other instances have running, by endpoint.
    void setPeerUse(const EndpointUses &use);
    bool isAvoided(const std::string &endpoint, MonotonicTime now) const;

private:
    std::map<std::string, EndpointLoad> loads;
    std::map<std::string, double> congestions;
};

} // namespace Godwitfork
