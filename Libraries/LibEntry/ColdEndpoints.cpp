#include "LibEntry/ColdEndpoints.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace
{
FleetContacts fleetContacts(const EntrySettings &settings, const std::vector<FleetMember> &members)
{
    FleetContacts contacts;
    contacts.own = toText(settings.peers);
    for (const FleetMember &member : members) {
        contacts.live.push_back(member.address);
    }
    for (const HttpAddress &seed : settings.seeds) {
        contacts.seeds.push_back(toText(seed));
    }
    return contacts;
}

/// Records what the reports and this instance's own requests show of the endpoint's health.
void recordHealth(EntryState &state, const std::string &endpoint, MonotonicTime now)
{
    const EndpointLoad &load = state.chooser.loads().find(endpoint);
    const Duration sinceOutput = load.sinceFleetOutput(now);
    // An overloaded endpoint may be silent for long, but holds requests; a lost one has lost them. Without any known output, as at a service of plain
    // answers, nothing tells a lost endpoint from one that answered with errors.
    if (sinceOutput == Duration::max()) {
        return;
    }
    state.coldStarts.recordReportedFailures(endpoint, load.peers.failures.sum, load.concurrentRequests(), sinceOutput, now);
    state.coldStarts.recordOutput(endpoint, now - sinceOutput);
}

void logPhase(const EntryState &state, const EndpointEntry &endpoint, ColdPhase phase, MonotonicTime now)
{
    const ColdState *known = state.coldStarts.find(endpoint.id);
    const bool isCold = known->coldUntil && now < *known->coldUntil;
    logEvent(LogLevel::Info,
             "endpoint.cold",
             {{"endpoint", endpoint.id},
              {"incarnation", endpoint.incarnation},
              {"service", endpoint.service},
              {"phase", coldPhaseName(phase)},
              {"remaining_ms", isCold ? toMilliseconds(*known->coldUntil - now) : 0},
              {"failed_ms", known->failedAt ? toMilliseconds(now - *known->failedAt) : -1},
              {"rank", known->rank.value_or(-1)},
              {"instances", known->instances}});
}
} // namespace

ColdRule coldRule(const EntrySettings &settings, const ServiceProperties *service)
{
    if (!service) {
        return {};
    }
    return {service->coldRequestsPerSecond, service->coldTime, settings.coldOverage, settings.coldTolerance};
}

void recordEndpointStart(EntryState &state, const EndpointEntry &endpoint, MonotonicTime now)
{
    state.coldStarts.recordEntry(endpoint.id, {endpoint.incarnation, endpoint.sequence, endpoint.coldRemaining}, now);
}

void removeColdEndpoints(EntryState &state, const ServiceProperties *service, std::vector<const EndpointEntry *> &endpoints, MonotonicTime now)
{
    const ColdRule rule = coldRule(state.settings, service);
    if (!isBounded(rule)) {
        return;
    }
    std::erase_if(endpoints, [&](const EndpointEntry *endpoint) {
        // A summary may have arrived since the last tick, by which a lost endpoint looks idle.
        recordHealth(state, endpoint->id, now);
        return state.coldStarts.timeToRequest(endpoint->id, rule, now) > Duration::zero();
    });
}

void updateColdEndpoints(EntryState &state, const std::vector<FleetMember> &members, MonotonicTime now)
{
    if (!state.routes || !state.coldStarts.isFleetUpdateDue(now)) {
        return;
    }
    const std::vector<ServiceProperties> &services = state.routes->configuration().services;
    if (std::none_of(services.begin(), services.end(), [&](const ServiceProperties &service) { return isBounded(coldRule(state.settings, &service)); })) {
        return;
    }
    state.coldStarts.updateFleet(fleetContacts(state.settings, members), now);
    for (const ServiceProperties &service : services) {
        const ColdRule rule = coldRule(state.settings, &service);
        if (!isBounded(rule)) {
            continue;
        }
        for (const EndpointEntry *endpoint : state.endpoints.ofService(service.name)) {
            recordHealth(state, endpoint->id, now);
            const auto changed = state.coldStarts.updatePhase(endpoint->id, rule, now);
            if (changed) {
                logPhase(state, *endpoint, *changed, now);
            }
        }
    }
}

int countColdEndpoints(const EntryState &state, MonotonicTime now)
{
    if (!state.routes) {
        return 0;
    }
    int count = 0;
    for (const ServiceProperties &service : state.routes->configuration().services) {
        const ColdRule rule = coldRule(state.settings, &service);
        if (!isBounded(rule)) {
            continue;
        }
        for (const EndpointEntry *endpoint : state.endpoints.ofService(service.name)) {
            const ColdPhase phase = state.coldStarts.phase(endpoint->id, rule, now);
            count += phase == ColdPhase::Cold || phase == ColdPhase::Suspect ? 1 : 0;
        }
    }
    return count;
}

} // namespace Godwitfork
