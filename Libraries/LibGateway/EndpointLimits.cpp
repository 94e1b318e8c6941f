#include "LibGateway/EndpointLimits.h"

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
/// Longest list of observations in a report.
constexpr std::size_t maxReported = 64;

Duration requestInterval(const EndpointLimit &limit)
{
    const int sharing = sharingInstances(*limit.requestsPerSecond, limit.instances);
    const double rate = std::max(minRate, usedShare * *limit.requestsPerSecond / sharing);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
}

bool isSharing(const EndpointLimit &limit)
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

LimitChange EndpointLimits::record(const std::string &endpoint, std::int64_t incarnation, std::optional<double> requestsPerSecond, MonotonicTime now)
{
    const auto found = this->known.find(endpoint);
    const bool isKnown = found != this->known.end() && found->second.incarnation == incarnation && found->second.requestsPerSecond;
    if (!requestsPerSecond && !isKnown) {
        return LimitChange::None;
    }
    if (found != this->known.end() && found->second.incarnation > incarnation) {
        return LimitChange::None;
    }
    EndpointLimit &limit = this->known[endpoint];
    if (limit.incarnation != incarnation) {
        limit = EndpointLimit();
        limit.incarnation = incarnation;
    }
    const std::optional<double> previous = limit.requestsPerSecond;
    limit.requestsPerSecond = requestsPerSecond;
    limit.observedAt = now;
    limit.isOwnObservation = true;
    if (!requestsPerSecond) {
        return LimitChange::Lifted;
    }
    if (!previous) {
        return LimitChange::Named;
    }
    return *previous == *requestsPerSecond ? LimitChange::None : LimitChange::Changed;
}

void EndpointLimits::merge(const std::vector<EndpointLimitReport> &reports, MonotonicTime now)
{
    for (const EndpointLimitReport &report : reports) {
        const MonotonicTime observedAt = now - report.age;
        EndpointLimit &limit = this->known[report.endpoint];
        const bool isOlder = limit.incarnation > report.incarnation || (limit.incarnation == report.incarnation && limit.observedAt >= observedAt);
        if (isOlder) {
            continue;
        }
        if (limit.incarnation != report.incarnation) {
            limit = EndpointLimit();
            limit.incarnation = report.incarnation;
        }
        limit.requestsPerSecond = report.requestsPerSecond;
        limit.observedAt = observedAt;
        limit.isOwnObservation = false;
    }
}

std::vector<EndpointLimitReport> EndpointLimits::report(MonotonicTime now) const
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

void EndpointLimits::setRank(const std::string &endpoint, int rank, int instances, MonotonicTime now)
{
    const auto found = this->known.find(endpoint);
    if (found == this->known.end() || !found->second.requestsPerSecond) {
        return;
    }
    EndpointLimit &limit = found->second;
    const bool wasSharing = isSharing(limit);
    limit.rank = rank;
    limit.instances = instances;
    // The instance that had this share before may just have used it.
    if (!wasSharing && isSharing(limit)) {
        limit.nextRequest = std::max(limit.nextRequest, now + requestInterval(limit));
    }
}

const EndpointLimit *EndpointLimits::find(const std::string &endpoint, std::int64_t incarnation) const
{
    const auto found = this->known.find(endpoint);
    const bool isNamed = found != this->known.end() && found->second.incarnation == incarnation && found->second.requestsPerSecond;
    return isNamed ? &found->second : nullptr;
}

Duration EndpointLimits::timeToRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now) const
{
    const EndpointLimit *limit = this->find(endpoint, incarnation);
    if (!limit) {
        return Duration::zero();
    }
    return isSharing(*limit) ? std::max(Duration::zero(), limit->nextRequest - now) : Duration::max();
}

void EndpointLimits::recordRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now)
{
    if (const EndpointLimit *limit = this->find(endpoint, incarnation)) {
        this->known[endpoint].nextRequest = std::max(limit->nextRequest, now) + requestInterval(*limit);
    }
}

void EndpointLimits::prune(MonotonicTime now)
{
    std::erase_if(this->known, [now](const auto &entry) { return now - entry.second.observedAt > observationLifetime; });
}

const std::map<std::string, EndpointLimit> &EndpointLimits::limits() const
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
