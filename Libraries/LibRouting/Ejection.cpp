#include "LibRouting/Ejection.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Slowness factors (see `slownessFactor`) from which an endpoint is ejected and up to which it is readmitted. The gap between them
/// prevents flapping.
constexpr double ejectionSlowness = 3;
constexpr double readmissionSlowness = 1.5;
constexpr double maxEjectedShare = 0.3;
constexpr Duration firstProbePause = std::chrono::milliseconds(500);
constexpr int maxDoublings = 4;
/// One probe in 400 requests affects too few requests to raise the 99th percentile of the latency. With little traffic a probe is
/// permitted after `maxProbeWait` all the same, because recovery matters more there.
constexpr int requestsPerProbe = 400;
constexpr Duration maxProbeWait = std::chrono::seconds(5);

double computeMedianTimePerToken(const EndpointTable &table, std::size_t group)
{
    std::vector<double> times;
    times.reserve(table.endpoints.size());
    for (const RoutedEndpoint &endpoint : table.endpoints) {
        if (endpoint.group == group && endpoint.slowness.tokens > 0) {
            times.push_back(endpoint.slowness.timePerToken);
        }
    }
    if (times.empty()) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

bool mayEjectOneMore(const EndpointTable &table, std::size_t group)
{
    const auto isEjected = [group](const RoutedEndpoint &endpoint) { return endpoint.group == group && endpoint.ejected; };
    const auto ejected = std::count_if(table.endpoints.begin(), table.endpoints.end(), isEjected);
    return static_cast<double>(ejected + 1) <= maxEjectedShare * static_cast<double>(table.groups[group].endpoints);
}
} // namespace

void updateEjection(EndpointTable &table, EndpointIndex index, MonotonicTime now)
{
    RoutedEndpoint &endpoint = table.endpoints[index];
    EndpointGroup &group = table.groups[endpoint.group];
    group.medianTimePerToken = computeMedianTimePerToken(table, endpoint.group);
    const double slowness = slownessFactor(endpoint.slowness, group.medianTimePerToken);
    if (endpoint.ejected) {
        endpoint.ejected = slowness > readmissionSlowness;
        return;
    }
    if (slowness >= ejectionSlowness && mayEjectOneMore(table, endpoint.group)) {
        endpoint.ejected = true;
        endpoint.probesSinceEjection = 0;
        endpoint.nextProbe = now + firstProbePause;
    }
}

bool isSuspended(const RoutedEndpoint &endpoint, MonotonicTime now)
{
    // A failed endpoint stays suspended after its back-off has passed, until a probe succeeds.
    return endpoint.ejected || endpoint.consecutiveFailures > 0 || now < endpoint.unavailableUntil;
}

bool isProbeDue(const RoutedEndpoint &endpoint, MonotonicTime now)
{
    return isSuspended(endpoint, now) && outstandingRequests(endpoint) == 0 && now >= endpoint.nextProbe && now >= endpoint.unavailableUntil;
}

bool mayProbe(const EndpointTable &table, MonotonicTime now)
{
    return table.requestsSinceProbe >= requestsPerProbe || now - table.lastProbe >= maxProbeWait;
}

void recordProbe(EndpointTable &table, EndpointIndex index, MonotonicTime now)
{
    RoutedEndpoint &endpoint = table.endpoints[index];
    endpoint.nextProbe = now + firstProbePause * (1 << std::min(endpoint.probesSinceEjection, maxDoublings));
    ++endpoint.probesSinceEjection;
    table.requestsSinceProbe = 0;
    table.lastProbe = now;
}

} // namespace Godwitfork
