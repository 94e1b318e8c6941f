#include "LibGateway/EndpointAnnouncements.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Part of a limit that is used; the rest covers instances that do not agree on who shares it.
constexpr double usedShare = 0.9;
/// Instances that share a limit, besides `instancesPerRate` for each request a second.
constexpr int baseSharingInstances = 3;
constexpr double instancesPerRate = 1.2;
/// Lowest rate of one sharing instance, so that an endpoint that names no limit any more is noticed.
constexpr double minRate = 0.1;
/// Time for which an observation is reported; it covers several lost reports.
constexpr Duration reportTime = std::chrono::seconds(5);
/// Time after which a limit that no instance has heard of again is dropped.
constexpr Duration observationLifetime = std::chrono::seconds(30);
/// Time for which a leaving endpoint is remembered; longer than any takes to leave.
constexpr Duration leavingLifetime = std::chrono::minutes(10);
/// Pause after the first request that follows a closed time, in which its answer tells whether the endpoint is open again.
constexpr Duration reopeningPause = std::chrono::milliseconds(250);
/// Longest list of observations in a report.
constexpr std::size_t maxReported = 64;

Duration requestInterval(const AnnouncedState &limit)
{
    const int sharing = sharingInstances(*limit.requestsPerSecond, limit.instances);
    const double rate = std::max(minRate, usedShare * *limit.requestsPerSecond / sharing);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

bool isSharing(const AnnouncedState &limit)
{
    return limit.rank && *limit.rank < sharingInstances(*limit.requestsPerSecond, limit.instances);
}
} // namespace

const char *limitChangeName(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        return "none";
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Lifted:
        return "lifted";
    }
    return "none";
}

int sharingInstances(double requestsPerSecond, int instances)
{
    const double wanted = std::floor(instancesPerRate * requestsPerSecond) + baseSharingInstances;
    return static_cast<int>(std::clamp<double>(wanted, 1, std::max(1, instances)));
}

AnnouncedState *EndpointAnnouncements::stateOf(const std::string &endpoint, std::int64_t incarnation)
{
    AnnouncedState &state = this->known[endpoint];
    if (state.incarnation > incarnation) {
        return nullptr;
    }
    if (state.incarnation != incarnation) {
        state = AnnouncedState();
        state.incarnation = incarnation;
    }
    return &state;
}

LimitChange EndpointAnnouncements::record(const std::string &endpoint, std::int64_t incarnation, std::optional<double> requestsPerSecond, MonotonicTime now)
{
    const auto found = this->known.find(endpoint);
    const bool isKnown = found != this->known.end() && found->second.incarnation == incarnation && found->second.requestsPerSecond;
    if (!requestsPerSecond && !isKnown) {
        return LimitChange::None;
    }
    AnnouncedState *state = this->stateOf(endpoint, incarnation);
    if (!state) {
        return LimitChange::None;
    }
    const std::optional<double> previous = state->requestsPerSecond;
    state->requestsPerSecond = requestsPerSecond;
    state->observedAt = now;
    state->isOwnObservation = true;
    if (!requestsPerSecond) {
        return LimitChange::Lifted;
    }
    if (!previous) {
        return LimitChange::Named;
    }
    return *previous == *requestsPerSecond ? LimitChange::None : LimitChange::Changed;
}

bool EndpointAnnouncements::recordLeaving(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now)
{
    AnnouncedState *state = this->stateOf(endpoint, incarnation);
    if (!state || state->leavingSince) {
        return false;
    }
    state->leavingSince = now;
    return true;
}

bool EndpointAnnouncements::recordClosed(const std::string &endpoint, std::int64_t incarnation, Duration closedFor, MonotonicTime now)
{
    AnnouncedState *state = this->stateOf(endpoint, incarnation);
    if (!state) {
        return false;
    }
    const bool isNew = now >= state->closedUntil;
    state->closedUntil = std::max(state->closedUntil, now + closedFor);
    return isNew;
}

void EndpointAnnouncements::merge(const std::vector<EndpointLimitReport> &reports, MonotonicTime now)
{
    for (const EndpointLimitReport &report : reports) {
        const MonotonicTime observedAt = now - report.age;
        AnnouncedState *state = this->stateOf(report.endpoint, report.incarnation);
        if (!state || state->observedAt >= observedAt) {
            continue;
        }
        AnnouncedState &limit = *state;
        limit.requestsPerSecond = report.requestsPerSecond;
        limit.observedAt = observedAt;
        limit.isOwnObservation = false;
    }
}

std::vector<EndpointLimitReport> EndpointAnnouncements::report(MonotonicTime now) const
{
    std::vector<EndpointLimitReport> reports;
    for (const auto &[endpoint, limit] : this->known) {
        const Duration age = now - limit.observedAt;
        if (limit.isOwnObservation && age <= reportTime && reports.size() < maxReported) {
            reports.push_back({endpoint, limit.incarnation, limit.requestsPerSecond, age});
        }
    }
    return reports;
}

void EndpointAnnouncements::setRank(const std::string &endpoint, int rank, int instances, MonotonicTime now)
{
    const auto found = this->known.find(endpoint);
    if (found == this->known.end() || !found->second.requestsPerSecond) {
        return;
    }
    AnnouncedState &limit = found->second;
    const bool wasSharing = isSharing(limit);
    limit.rank = rank;
    limit.instances = instances;
    // The instance that had this share before may just have used it.
    if (!wasSharing && isSharing(limit)) {
        limit.nextRequest = std::max(limit.nextRequest, now + requestInterval(limit));
    }
}

const AnnouncedState *EndpointAnnouncements::find(const std::string &endpoint, std::int64_t incarnation) const
{
    const auto found = this->known.find(endpoint);
    return found != this->known.end() && found->second.incarnation == incarnation ? &found->second : nullptr;
}

Duration EndpointAnnouncements::timeToRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now) const
{
    const AnnouncedState *state = this->find(endpoint, incarnation);
    if (!state) {
        return Duration::zero();
    }
    if (state->leavingSince || (state->requestsPerSecond && !isSharing(*state))) {
        return Duration::max();
    }
    return std::max({Duration::zero(), state->nextRequest - now, state->closedUntil - now});
}

void EndpointAnnouncements::recordRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now)
{
    if (!this->find(endpoint, incarnation)) {
        return;
    }
    AnnouncedState &state = this->known[endpoint];
    if (state.requestsPerSecond) {
        state.nextRequest = std::max(state.nextRequest, now) + requestInterval(state);
    } else if (state.closedUntil > state.nextRequest) {
        state.nextRequest = now + reopeningPause;
    }
}

void EndpointAnnouncements::prune(MonotonicTime now)
{
    std::erase_if(this->known, [now](const auto &entry) {
        const AnnouncedState &state = entry.second;
        const bool isLeaving = state.leavingSince && now - *state.leavingSince <= leavingLifetime;
        return !isLeaving && now >= state.closedUntil && now >= state.nextRequest && now - state.observedAt > observationLifetime;
    });
}

const std::map<std::string, AnnouncedState> &EndpointAnnouncements::states() const
{
    return this->known;
}

void addLimitReports(std::vector<EndpointLimitReport> &total, const std::vector<EndpointLimitReport> &added, Duration age)
{
    for (EndpointLimitReport report : added) {
        report.age += age;
        const auto known = std::find_if(total.begin(), total.end(), [&](const EndpointLimitReport &other) { return other.endpoint == report.endpoint; });
        if (known == total.end()) {
            if (total.size() < maxReported) {
                total.push_back(std::move(report));
            }
        } else if (known->incarnation < report.incarnation || (known->incarnation == report.incarnation && known->age > report.age)) {
            *known = std::move(report);
        }
    }
}

} // namespace Godwitfork
