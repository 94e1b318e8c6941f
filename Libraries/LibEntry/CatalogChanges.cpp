#include "LibEntry/CatalogChanges.h"

#include "LibCore/Log.h"
#include "LibEntry/ColdEndpoints.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>

namespace Godwitfork
{

namespace
{
/// Time for which reports to other instances list a removed endpoint. Exceeds a store outage that affects a single instance.
constexpr Duration departureRetention = std::chrono::seconds(15);

constexpr std::int64_t unknownMilliseconds = -1;

std::int64_t millisecondsSince(std::optional<MonotonicTime> time, MonotonicTime now)
{
    return time ? toMilliseconds(now - *time) : unknownMilliseconds;
}

/// Milliseconds since this instance's copy of a kind was last confirmed; an upper bound of the delay of a change that it applies now.
std::int64_t copyAge(const EntryState &state, CatalogKind kind, MonotonicTime now)
{
    const auto known = state.freshness.find(kind);
    const bool isConfirmed = known != state.freshness.end() && known->second.confirmedAt != MonotonicTime();
    return isConfirmed ? millisecondsSince(known->second.confirmedAt, now) : unknownMilliseconds;
}

std::int64_t openCallAge(const EntryState &state, CatalogKind kind, MonotonicTime now)
{
    const auto known = state.freshness.find(kind);
    return known == state.freshness.end() ? unknownMilliseconds : millisecondsSince(known->second.callSentAt, now);
}

void logEndpointChanges(EntryState &state, const std::vector<EndpointChange> &changes)
{
    for (const EndpointChange &change : changes) {
        if (change.kind == EndpointChangeKind::Removed) {
            state.recentlyRemoved.push_back({{change.endpoint.id, change.endpoint.incarnation}, monotonicNow()});
        }
        if (change.kind == EndpointChangeKind::Added) {
            std::erase_if(state.recentlyRemoved, [&](const auto &left) { return left.first.id == change.endpoint.id; });
        }
        if (change.kind == EndpointChangeKind::Restarted || change.kind == EndpointChangeKind::Removed) {
            state.chooser.forget(change.endpoint.id);
        }
        if (change.kind == EndpointChangeKind::Removed) {
            state.coldStarts.forget(change.endpoint.id);
        }
        logEvent(LogLevel::Info,
                 "endpoint.changed",
                 {{"endpoint", change.endpoint.id},
                  {"change", endpointChangeName(change.kind)},
                  {"service", change.endpoint.service},
                  {"version", change.endpoint.version},
                  {"address", toText(change.endpoint.address)},
                  {"copy_age_ms", copyAge(state, CatalogKind::Endpoints, monotonicNow())}});
    }
}

void recordProblem(EntryState &state, CatalogKind kind, const CatalogChange &change, MonotonicTime now)
{
    if (change.fault != ItemFault::None) {
        recordIgnored(state.ignoredItems, {catalogKindName(kind), change.fault, change.name, change.revision, change.problem}, now);
    }
}

/// Removes an endpoint whose entry is no longer understood. Unlike one that is missing after an outage it is not kept, since the store has its
/// entry.
void removeUnnamed(EntryState &state, const std::string &id, MonotonicTime now)
{
    const std::vector<EndpointChange> changes = state.endpoints.remove(id, {}, now);
    logEndpointChanges(state, changes);
    // The endpoint may still be alive, and its entry be overwritten soon, so other instances are not told that it left.
    if (!changes.empty()) {
        std::erase_if(state.recentlyRemoved, [&](const auto &left) { return left.first.id == id; });
    }
}

void applyEndpoint(EntryState &state, const CatalogChange &change, SnapshotTrust trust, MonotonicTime now)
{
    if (change.object) {
        const auto &entry = std::get<EndpointEntry>(*change.object);
        recordEndpointStart(state, entry, now);
        logEndpointChanges(state, state.endpoints.put(entry, now));
    } else if (change.fault != ItemFault::None) {
        removeUnnamed(state, change.name, now);
    } else {
        logEndpointChanges(state, state.endpoints.remove(change.name, trust, now));
    }
}

void removeRollout(EntryState &state, const std::string &service)
{
    if (state.versions.rollouts().contains(service)) {
        state.versions.removeOrder(service);
        logEvent(LogLevel::Info, "rollout.removed", {{"service", service}});
    }
}

void applyRollout(EntryState &state, const CatalogChange &change, MonotonicTime now)
{
    // An order that is no longer understood still stands.
    if (change.fault != ItemFault::None) {
        return;
    }
    if (!change.object) {
        removeRollout(state, change.name);
        return;
    }
    const auto &order = std::get<RolloutOrder>(*change.object);
    state.versions.setOrder(order, now, state.rolloutsKnown ? OrderOrigin::Change : OrderOrigin::FirstList);
    logEvent(LogLevel::Info,
             "rollout.seen",
             {{"service", order.service}, {"target", order.target}, {"state", rolloutStateName(order.state)}, {"revision", order.revision}});
}

void setEvacuated(EntryState &state, const std::string &failureDomain, bool isEvacuated, MonotonicTime now)
{
    std::set<std::string> &evacuated = state.failureDomains.evacuated;
    const bool isChanged = isEvacuated ? evacuated.insert(failureDomain).second : evacuated.erase(failureDomain) > 0;
    if (isChanged) {
        logEvent(LogLevel::Info,
                 isEvacuated ? "evacuation.begun" : "evacuation.ended",
                 {{"failure_domain", failureDomain}, {"copy_age_ms", copyAge(state, CatalogKind::Evacuations, now)}});
    }
}

// An entry that is not understood changes nothing, so a domain whose entry is overwritten stays evacuated.
void applyEvacuation(EntryState &state, const CatalogChange &change, MonotonicTime now)
{
    if (change.fault == ItemFault::None) {
        setEvacuated(state, change.name, change.object.has_value(), now);
    }
}

/// Returns those of the names that a complete list lacks.
std::vector<std::string> namesMissingFrom(const CatalogPage &page, std::set<std::string> names)
{
    for (const CatalogChange &change : page.changes) {
        names.erase(change.name);
    }
    return {names.begin(), names.end()};
}
} // namespace

bool applyEvacuationList(EntryState &state, const CatalogPage &page, MonotonicTime now, MissingObjects missing)
{
    for (const CatalogChange &change : page.changes) {
        applyCatalogChange(state, CatalogKind::Evacuations, change, {}, now);
    }
    state.evacuationsKnown = true;
    const std::vector<std::string> absent = namesMissingFrom(page, state.failureDomains.evacuated);
    if (missing == MissingObjects::Keep) {
        return !absent.empty();
    }
    for (const std::string &failureDomain : absent) {
        setEvacuated(state, failureDomain, false, now);
    }
    return false;
}

bool applyRolloutList(EntryState &state, const CatalogPage &page, MonotonicTime now, MissingObjects missing)
{
    for (const CatalogChange &change : page.changes) {
        applyCatalogChange(state, CatalogKind::Rollouts, change, {}, now);
    }
    state.rolloutsKnown = true;
    std::set<std::string> services;
    for (const auto &[service, rollout] : state.versions.rollouts()) {
        services.insert(service);
    }
    const std::vector<std::string> absent = namesMissingFrom(page, std::move(services));
    if (missing == MissingObjects::Keep) {
        return !absent.empty();
    }
    for (const std::string &service : absent) {
        removeRollout(state, service);
    }
    return false;
}

void applyEndpointList(EntryState &state, const CatalogPage &page, SnapshotTrust trust, MonotonicTime now)
{
    std::vector<EndpointEntry> entries;
    std::set<std::string> unnamed;
    for (const CatalogChange &change : page.changes) {
        recordProblem(state, CatalogKind::Endpoints, change, now);
        if (change.object) {
            entries.push_back(std::get<EndpointEntry>(*change.object));
            recordEndpointStart(state, entries.back(), now);
            unnamed.erase(change.name);
        } else if (change.fault != ItemFault::None) {
            unnamed.insert(change.name);
        }
    }
    for (const std::string &id : unnamed) {
        removeUnnamed(state, id, now);
    }
    logEndpointChanges(state, state.endpoints.replaceAll(entries, trust, now));
    state.endpointsKnown = true;
}

void applyLeavingEndpoints(EntryState &state, const std::vector<LeavingEndpoint> &leaving)
{
    for (const LeavingEndpoint &endpoint : leaving) {
        logEndpointChanges(state, state.endpoints.markLeaving(endpoint.id, endpoint.incarnation, monotonicNow()));
    }
}

bool adoptConfiguration(EntryState &state, const CatalogChange &change, const char *origin, MonotonicTime now)
{
    const auto &configuration = std::get<std::shared_ptr<const RouteConfiguration>>(*change.object);
    const ConfigurationVersion current = state.routes ? state.routes->configuration().version : 0;
    if (state.routes && configuration->version <= current) {
        return false;
    }
    state.routes = std::make_shared<const RouteTable>(configuration);
    state.routesAdoptedAt = now;
    state.configurationSource = change.source;
    logEvent(LogLevel::Info,
             "configuration.adopted",
             {{"version", configuration->version},
              {"previous", current},
              {"routes", configuration->routes.size()},
              {"origin", origin},
              {"copy_age_ms", copyAge(state, CatalogKind::Configuration, now)},
              {"open_call_ms", openCallAge(state, CatalogKind::Configuration, now)},
              {"heard_ms", millisecondsSince(state.newerConfigurationHeardAt, now)}});
    state.newerConfigurationHeardAt.reset();
    return true;
}

void applyCatalogChange(EntryState &state, CatalogKind kind, const CatalogChange &change, SnapshotTrust trust, MonotonicTime now)
{
    recordProblem(state, kind, change, now);
    switch (kind) {
    case CatalogKind::Configuration:
        if (change.object) {
            adoptConfiguration(state, change, "store", now);
        }
        break;
    case CatalogKind::Endpoints:
        applyEndpoint(state, change, trust, now);
        break;
    case CatalogKind::Rollouts:
        applyRollout(state, change, now);
        break;
    case CatalogKind::Evacuations:
        applyEvacuation(state, change, now);
        break;
    }
}

void expireEndpoints(EntryState &state, MonotonicTime now)
{
    std::erase_if(state.recentlyRemoved, [&](const auto &entry) { return now - entry.second > departureRetention; });
    logEndpointChanges(state, state.endpoints.expire(now));
}

} // namespace Godwitfork
