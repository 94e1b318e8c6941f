#include "LibCore/Log.h"
#include "LibEntry/ColdEndpoints.h"
#include "LibEntry/RequestRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time within which a connection is refused by a machine without a listener; below the time limit of a connection.
constexpr Duration refusalTime = std::chrono::milliseconds(200);
} // namespace

Duration RequestRun::timeToAvailableEndpoint() const
{
    const MonotonicTime now = monotonicNow();
    const ColdRule rule = this->coldRule();
    Duration earliest = Duration::max();
    for (const EndpointEntry *endpoint : this->state.endpoints.ready(this->service)) {
        const Duration announced = this->state.announcements.timeToRequest(endpoint->id, endpoint->incarnation, now);
        // An instance without a share waits longer than a window, but a caller that comes back may reach one that has a share.
        const Duration cold = isBounded(rule) ? std::min(coldWindow, this->state.coldStarts.timeToRequest(endpoint->id, rule, now)) : Duration::zero();
        const Duration time = std::max(announced, cold);
        const bool isAllowed = this->placementObstacle(*endpoint) == PlacementObstacle::None;
        earliest = isAllowed && time > Duration::zero() ? std::min(earliest, time) : earliest;
    }
    return earliest == Duration::max() ? Duration::zero() : earliest;
}

ColdRule RequestRun::coldRule() const
{
    return Godwitfork::coldRule(this->state.settings, this->routes->findService(this->service));
}

void RequestRun::recordColdRequest(const EndpointEntry &endpoint, MonotonicTime now)
{
    const ColdRule rule = this->coldRule();
    if (!isBounded(rule)) {
        return;
    }
    const ColdPhase phase = this->state.coldStarts.phase(endpoint.id, rule, now);
    if (phase != ColdPhase::Warm) {
        this->context.metrics.recordColdRequest(this->service, coldPhaseName(phase));
    }
    this->state.coldStarts.recordRequest(endpoint.id, now);
}

void RequestRun::recordColdEvidence(const AttemptOutcome &outcome)
{
    if (!isBounded(this->coldRule())) {
        return;
    }
    const EndpointEntry &endpoint = this->currentAttempt->choice.endpoint;
    const MonotonicTime now = monotonicNow();
    // An attempt that ended at the request's own deadline says nothing about the endpoint. A connection that is not refused but times out may be one
    // lost packet.
    const bool isRefused = now - this->currentAttempt->started < refusalTime;
    const bool hasFailedBefore = this->state.chooser.loads().find(endpoint.id).consecutiveNoResponses > 1;
    const bool isUnconnected = outcome.end == AttemptEnd::NotSent && this->remaining() > Duration::zero() && (isRefused || hasFailedBefore);
    if (outcome.end == AttemptEnd::Answered) {
        this->state.coldStarts.recordOutput(endpoint.id, now);
    } else if (isUnconnected || outcome.isConnectionLost) {
        this->state.coldStarts.recordFailure(endpoint.id, endpoint.incarnation, now);
    }
}

void RequestRun::logColdEndpoints() const
{
    const ColdRule rule = this->coldRule();
    if (!isBounded(rule)) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    int cold = 0;
    int sharing = 0;
    Duration earliest = Duration::max();
    for (const EndpointEntry *endpoint : this->state.endpoints.ready(this->service)) {
        const Duration time = this->state.coldStarts.timeToRequest(endpoint->id, rule, now);
        if (time == Duration::zero()) {
            continue;
        }
        ++cold;
        const ColdState *known = this->state.coldStarts.find(endpoint->id);
        sharing += known->rank && instanceAllowance(coldAllowance(rule), *known->rank, known->instances) > 0 ? 1 : 0;
        earliest = std::min(earliest, time);
    }
    if (cold == 0) {
        return;
    }
    this->context.metrics.recordColdRefusal(this->service);
    logEvent(LogLevel::Warning,
             "attempt.cold",
             {{"request", this->gatewayRequest.id},
              {"service", this->service},
              {"endpoints", cold},
              {"sharing", sharing},
              {"tried", this->triedEndpoints.size()},
              {"wait_ms", toMilliseconds(earliest)}});
}

} // namespace Godwitfork
