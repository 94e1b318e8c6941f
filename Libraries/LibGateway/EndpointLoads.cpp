#include "LibGateway/EndpointLoads.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Back-off after the first request without a response; it doubles with each further one in a row.
constexpr Duration initialBackOff = std::chrono::milliseconds(500);
constexpr int maxBackOffDoublings = 3;
/// Time constant of the decay of observations at one endpoint: long enough for several requests of one instance, short against the
/// time that an endpoint stays slow.
constexpr Duration endpointTimeConstant = std::chrono::seconds(4);
/// Time constant of the decay of observations of a whole service. It can be short, since all instances together observe many requests,
/// and it must be, since a load peak builds up within seconds.
constexpr Duration serviceTimeConstant = std::chrono::seconds(2);
/// Failures whose decayed sum is below this part of one observation are not reported to other instances.
constexpr double minReportedWeight = 0.25;
/// Outputs are reported if they are newer than this: older ones say nothing about whether the endpoint is alive when the report arrives.
constexpr Duration maxReportedOutputAge = std::chrono::seconds(1);
/// Upper bound of one observed slowdown, so that a single very long time does not dominate the mean.
constexpr double maxSlowdown = 20;
/// Weight of the prior slowdown of 1, in seconds of expected time.
constexpr double priorSeconds = 0.3;

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}
} // namespace

EndpointLoad::EndpointLoad() : firstOutputTimes(endpointTimeConstant), failures(endpointTimeConstant)
{
}

Duration EndpointLoad::sinceFleetOutput(MonotonicTime now) const
{
    const MonotonicTime newest = std::max(this->lastOutput, this->lastPeerOutput);
    return newest == MonotonicTime() ? Duration::max() : now - newest;
}

ObservationSum EndpointLoad::fleetFailures(MonotonicTime now) const
{
    ObservationSum total = this->failures.valueAt(now);
    total += this->peers.failures;
    return total;
}

int EndpointLoad::concurrentRequests() const
{
    return this->running + this->peers.running;
}

Duration EndpointLoad::waitingPromptTime() const
{
    return this->pendingPromptTime + this->peers.pendingPromptTime;
}

bool EndpointLoad::isAvoided(MonotonicTime now) const
{
    return this->avoidUntil > now;
}

EndpointLoads::DecayingStatistics::DecayingStatistics() : slowdown(serviceTimeConstant), promptWaits(serviceTimeConstant)
{
}

ServiceStatistics EndpointLoads::DecayingStatistics::valueAt(MonotonicTime now) const
{
    return {this->slowdown.valueAt(now), this->promptWaits.valueAt(now), {}};
}

void EndpointLoads::setLearnsCapacity(bool learns)
{
    this->isLearning = learns;
}

bool EndpointLoads::learnsCapacity() const
{
    return this->isLearning;
}

double EndpointLoads::relativeTime(const EndpointLoad &load, MonotonicTime now) const
{
    return this->isLearning ? load.capacity.relativeTime(now) : 1;
}

LoadTicket EndpointLoads::begin(const EndpointEntry &endpoint, Duration expectedPrompt)
{
    EndpointLoad &load = this->loads[endpointKey(endpoint.id)];
    ++load.running;
    load.pendingPromptTime += expectedPrompt;
    return {endpoint.id, endpoint.service, expectedPrompt, true};
}

void EndpointLoads::recordFirstOutput(LoadTicket &ticket, Duration elapsed, Duration expected, MonotonicTime now, ObservationUse use)
{
    EndpointLoad &load = this->loads[endpointKey(ticket.endpoint)];
    if (ticket.isWaiting) {
        load.pendingPromptTime = std::max(Duration::zero(), load.pendingPromptTime - ticket.expectedPrompt);
        ticket.isWaiting = false;
    }
    if (expected <= Duration::zero()) {
        return;
    }
    const double expectedSeconds = toSeconds(expected);
    const ObservationSum observation {std::min(toSeconds(elapsed), expectedSeconds * maxSlowdown), expectedSeconds};
    const double relativeTime = this->relativeTime(load, now);
    load.firstOutputTimes.add({observation.sum, observation.weight * relativeTime}, now);
    if (this->isLearning) {
        load.capacity.record({elapsed, expected, this->meanSlowdown(ticket.service, now)}, now);
    }
    if (use == ObservationUse::Endpoint) {
        return;
    }
    DecayingStatistics &serviceStatistics = this->statistics[ticket.service];
    serviceStatistics.slowdown.add(observation, now);
    serviceStatistics.promptWaits.add({toSeconds(std::max(Duration::zero(), elapsed - ticket.expectedPrompt)), 1}, now);
}

ServiceStatistics EndpointLoads::fleetStatistics(const std::string &service, MonotonicTime now) const
{
    ServiceStatistics total;
    if (const auto own = this->statistics.find(service); own != this->statistics.end()) {
        total += own->second.valueAt(now);
    }
    if (const auto others = this->peerStatistics.find(service); others != this->peerStatistics.end()) {
        total += others->second;
    }
    return total;
}

double EndpointLoads::meanSlowdown(const std::string &service, MonotonicTime now) const
{
    return meanWithPrior(this->fleetStatistics(service, now).slowdown, 1, priorSeconds);
}

Duration EndpointLoads::meanPromptWait(const std::string &service, MonotonicTime now) const
{
    const std::chrono::duration<double> wait(meanWithPrior(this->fleetStatistics(service, now).promptWaits, 0, 1));
    return std::chrono::duration_cast<Duration>(wait);
}

double EndpointLoads::peerRequestsPerSecond(const std::string &service) const
{
    const auto others = this->peerStatistics.find(service);
    return others == this->peerStatistics.end() ? 0 : others->second.promptWaits.weight / toSeconds(serviceTimeConstant);
}

void EndpointLoads::recordOutput(const std::string &endpoint, MonotonicTime now)
{
    this->loads[endpointKey(endpoint)].lastOutput = now;
}

void EndpointLoads::end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now)
{
    EndpointLoad &load = this->loads[endpointKey(ticket.endpoint)];
    load.running = std::max(0, load.running - 1);
    if (ticket.isWaiting) {
        load.pendingPromptTime = std::max(Duration::zero(), load.pendingPromptTime - ticket.expectedPrompt);
    }
    switch (result) {
    case EndpointResult::Success:
        load.failures.add({0, 1}, now);
        load.consecutiveNoResponses = 0;
        load.avoidUntil = {};
        break;
    case EndpointResult::Failure:
        load.failures.add({1, 1}, now);
        break;
    case EndpointResult::NoResponse:
        load.failures.add({1, 1}, now);
        load.avoidUntil = now + initialBackOff * (1 << std::min(load.consecutiveNoResponses, maxBackOffDoublings));
        ++load.consecutiveNoResponses;
        break;
    case EndpointResult::Shed:
    case EndpointResult::Ended:
        break;
    }
}

const EndpointLoad &EndpointLoads::find(const std::string &endpoint) const
{
    static const EndpointLoad unknown;
    const auto load = this->loads.find(endpointKey(endpoint));
    return load == this->loads.end() ? unknown : load->second;
}

EndpointLoad &EndpointLoads::getOrCreate(const std::string &endpoint)
{
    return this->loads[endpointKey(endpoint)];
}

void EndpointLoads::forget(const std::string &endpoint)
{
    this->loads.erase(endpointKey(endpoint));
}

void EndpointLoads::setPeerUsage(const EndpointUsageMap &usage, const ServiceStatisticsMap &newStatistics, MonotonicTime now)
{
    for (auto &[key, load] : this->loads) {
        load.peers = {};
        if (!usage.contains(key)) {
            load.capacity.addPeerEvidence({}, now);
        }
    }
    for (const auto &[key, peerUsage] : usage) {
        EndpointLoad &load = this->loads[key];
        load.peers = peerUsage;
        load.capacity.addPeerEvidence(peerUsage.relativeTimes, now);
        if (peerUsage.sinceOutput) {
            load.lastPeerOutput = std::max(load.lastPeerOutput, now - *peerUsage.sinceOutput);
        }
    }
    this->peerStatistics = newStatistics;
    // Outdated usage is replaced by none.
    if (!usage.empty() || !newStatistics.empty()) {
        this->peerUsageSetAt = now;
    }
}

Duration EndpointLoads::summaryAge(MonotonicTime now) const
{
    return this->peerUsageSetAt ? now - *this->peerUsageSetAt : Duration::max();
}

EndpointUsageMap EndpointLoads::ownUsage(MonotonicTime now) const
{
    EndpointUsageMap usages;
    for (const auto &[key, load] : this->loads) {
        const ObservationSum failures = load.failures.valueAt(now);
        const bool hasRecentOutput = load.lastOutput != MonotonicTime() && now - load.lastOutput <= maxReportedOutputAge;
        const ObservationSum relativeTimes = this->isLearning ? load.capacity.ownEvidence(now) : ObservationSum();
        if (load.running > 0 || failures.sum >= minReportedWeight || hasRecentOutput || relativeTimes.weight > 0) {
            usages[key] = {
                load.running, load.pendingPromptTime, failures, hasRecentOutput ? std::optional(now - load.lastOutput) : std::nullopt, relativeTimes};
        }
    }
    return usages;
}

ServiceStatisticsMap EndpointLoads::ownStatistics(MonotonicTime now) const
{
    ServiceStatisticsMap result;
    for (const auto &[service, serviceStatistics] : this->statistics) {
        result[service] = serviceStatistics.valueAt(now);
    }
    return result;
}

} // namespace Godwitfork
