#include "LibGateway/EndpointLoads.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Weight of a new observation in the moving means; ten requests replace most of the history.
constexpr double observationWeight = 0.15;
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 10;
constexpr double minCongestion = 0.5;
constexpr double maxCongestion = 8;
/// Pause after the first silence; doubles with each further one.
constexpr Duration firstAvoidance = std::chrono::milliseconds(500);
constexpr int maxAvoidanceDoublings = 3;

void blend(double &mean, double value)
{
    mean += observationWeight * (value - mean);
}
} // namespace

LoadTicket EndpointLoads::begin(const EndpointEntry &endpoint, Duration expectedPrompt)
{
    EndpointLoad &load = this->loads[endpoint.id];
    ++load.running;
    load.pendingPrompts += expectedPrompt;
    return {endpoint.id, endpoint.service, expectedPrompt, true};
}

void EndpointLoads::firstOutput(LoadTicket &ticket, Duration elapsed, Duration expected)
{
    EndpointLoad &load = this->loads[ticket.endpoint];
    if (ticket.isWaiting) {
        load.pendingPrompts = std::max(Duration::zero(), load.pendingPrompts - ticket.expectedPrompt);
        ticket.isWaiting = false;
    }
    if (expected > Duration::zero()) {
        // The expectation holds both factors, so each follows what remains beside the other one.
        const double ratio = static_cast<double>(elapsed.count()) / static_cast<double>(expected.count());
        double &congestion = this->congestions.try_emplace(ticket.service, 1).first->second;
        blend(load.slowness, std::clamp(ratio * load.slowness, minSlowness, maxSlowness));
        blend(congestion, std::clamp(ratio * congestion, minCongestion, maxCongestion));
    }
}

double EndpointLoads::congestion(const std::string &service) const
{
    const auto known = this->congestions.find(service);
    return known == this->congestions.end() ? 1 : known->second;
}

void EndpointLoads::recordOutput(const std::string &endpoint, MonotonicTime now)
{
    this->loads[endpoint].lastOutput = now;
}

void EndpointLoads::end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now)
{
    EndpointLoad &load = this->loads[ticket.endpoint];
    load.running = std::max(0, load.running - 1);
    if (ticket.isWaiting) {
        load.pendingPrompts = std::max(Duration::zero(), load.pendingPrompts - ticket.expectedPrompt);
    }
    switch (result) {
    case EndpointResult::Success:
        blend(load.failureShare, 0);
        load.consecutiveSilences = 0;
        load.avoidUntil = {};
        break;
    case EndpointResult::Failure:
        blend(load.failureShare, 1);
        break;
    case EndpointResult::Silent:
        blend(load.failureShare, 1);
        load.avoidUntil = now + firstAvoidance * (1 << std::min(load.consecutiveSilences, maxAvoidanceDoublings));
        ++load.consecutiveSilences;
        break;
    case EndpointResult::Shed:
    case EndpointResult::Ended:
        break;
    }
}

const EndpointLoad &EndpointLoads::find(const std::string &endpoint) const
{
    static const EndpointLoad unknown;
    const auto load = this->loads.find(endpoint);
    return load == this->loads.end() ? unknown : load->second;
}

EndpointLoad &EndpointLoads::at(const std::string &endpoint)
{
    return this->loads[endpoint];
}

void EndpointLoads::forget(const std::string &endpoint)
{
    this->loads.erase(endpoint);
}

const std::map<std::string, EndpointLoad> &EndpointLoads::all() const
{
    return this->loads;
}

void EndpointLoads::setPeerUse(const EndpointUses &use)
{
    for (auto &[id, load] : this->loads) {
        load.peerRunning = 0;
        load.peerPendingPrompts = Duration::zero();
    }
    for (const auto &[id, peerUse] : use) {
        EndpointLoad &load = this->loads[id];
        load.peerRunning = peerUse.running;
        load.peerPendingPrompts = peerUse.pendingPrompts;
    }
}

bool EndpointLoads::isAvoided(const std::string &endpoint, MonotonicTime now) const
{
    return this->find(endpoint).avoidUntil > now;
}

} // namespace Godwitfork
