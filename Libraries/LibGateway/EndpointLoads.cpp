#include "LibGateway/EndpointLoads.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Pause after the first silence; doubles with each further one.
constexpr Duration firstAvoidance = std::chrono::milliseconds(500);
constexpr int maxAvoidanceDoublings = 3;
/// Long enough for several requests of one instance to an endpoint, short against the time that an endpoint stays slow.
constexpr Duration endpointMemory = std::chrono::seconds(4);
/// Short, since all instances together see many requests and a peak builds up within seconds.
constexpr Duration paceMemory = std::chrono::seconds(2);
/// What has faded below this part of one observation is not told to others.
constexpr double minToldWeight = 0.25;
/// Longer times, in multiples of the expected one, say no more about an endpoint than that it is very slow.
constexpr double maxRatio = 20;
/// Seconds of expected time that count as having been as usual, before the first observation.
constexpr double assumedSeconds = 0.3;

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}
} // namespace

EndpointLoad::EndpointLoad() : times(endpointMemory), failures(endpointMemory)
{
}

ObservationSum EndpointLoad::fleetFailures(MonotonicTime now) const
{
    ObservationSum total = this->failures.at(now);
    total += this->peers.failures;
    return total;
}

int EndpointLoad::requestsBeside() const
{
    return this->running + this->peers.running;
}

Duration EndpointLoad::waitingPrompts() const
{
    return this->pendingPrompts + this->peers.pendingPrompts;
}

EndpointLoads::FadingPace::FadingPace() : slowness(paceMemory), waits(paceMemory)
{
}

ServiceStatistics EndpointLoads::FadingPace::at(MonotonicTime now) const
{
    return {this->slowness.at(now), this->waits.at(now), {}};
}

LoadTicket EndpointLoads::begin(const EndpointEntry &endpoint, Duration expectedPrompt)
{
    EndpointLoad &load = this->loads[endpoint.id];
    ++load.running;
    load.pendingPrompts += expectedPrompt;
    return {endpoint.id, endpoint.service, expectedPrompt, true};
}

void EndpointLoads::recordFirstOutput(LoadTicket &ticket, Duration elapsed, Duration expected, MonotonicTime now)
{
    EndpointLoad &load = this->loads[ticket.endpoint];
    if (ticket.isWaiting) {
        load.pendingPrompts = std::max(Duration::zero(), load.pendingPrompts - ticket.expectedPrompt);
        ticket.isWaiting = false;
    }
    if (expected <= Duration::zero()) {
        return;
    }
    const double expectedSeconds = toSeconds(expected);
    const ObservationSum observation {std::min(toSeconds(elapsed), expectedSeconds * maxRatio), expectedSeconds};
    load.times.add(observation, now);
    FadingPace &pace = this->statistics[ticket.service];
    pace.slowness.add(observation, now);
    pace.waits.add({toSeconds(std::max(Duration::zero(), elapsed - ticket.expectedPrompt)), 1}, now);
}

ServiceStatistics EndpointLoads::paceOfAll(const std::string &service, MonotonicTime now) const
{
    ServiceStatistics total;
    if (const auto own = this->statistics.find(service); own != this->statistics.end()) {
        total += own->second.at(now);
    }
    if (const auto others = this->peerPaces.find(service); others != this->peerPaces.end()) {
        total += others->second;
    }
    return total;
}

double EndpointLoads::meanSlowdown(const std::string &service, MonotonicTime now) const
{
    return blendedMean(this->paceOfAll(service, now).slowness, 1, assumedSeconds);
}

Duration EndpointLoads::meanPromptWait(const std::string &service, MonotonicTime now) const
{
    const std::chrono::duration<double> wait(blendedMean(this->paceOfAll(service, now).waits, 0, 1));
    return std::chrono::duration_cast<Duration>(wait);
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
        load.failures.add({0, 1}, now);
        load.consecutiveSilences = 0;
        load.avoidUntil = {};
        break;
    case EndpointResult::Failure:
        load.failures.add({1, 1}, now);
        break;
    case EndpointResult::NoResponse:
        load.failures.add({1, 1}, now);
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

void EndpointLoads::setPeerUsage(const EndpointUsageMap &use, const ServiceStatisticsMap &newPaces)
{
    for (auto &[id, load] : this->loads) {
        load.peers = {};
    }
    for (const auto &[id, peerUse] : use) {
        this->loads[id].peers = peerUse;
    }
    this->peerPaces = newPaces;
}

EndpointUsageMap EndpointLoads::ownUsage(MonotonicTime now) const
{
    EndpointUsageMap uses;
    for (const auto &[id, load] : this->loads) {
        const ObservationSum failures = load.failures.at(now);
        if (load.running > 0 || failures.sum >= minToldWeight) {
            uses[id] = {load.running, load.pendingPrompts, failures};
        }
    }
    return uses;
}

ServiceStatisticsMap EndpointLoads::ownStatistics(MonotonicTime now) const
{
    ServiceStatisticsMap result;
    for (const auto &[service, pace] : this->statistics) {
        result[service] = pace.at(now);
    }
    return result;
}

bool EndpointLoads::isAvoided(const std::string &endpoint, MonotonicTime now) const
{
    return this->find(endpoint).avoidUntil > now;
}

} // namespace Godwitfork
