#include "LibRouting/EndpointTable.h"

#include "LibCore/Digest.h"
#include "LibRouting/Ejection.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr Duration firstFailurePause = std::chrono::milliseconds(250);
constexpr Duration maxFailurePause = std::chrono::seconds(8);
constexpr int maxDoublings = 5;
constexpr double meanTokensWeight = 0.02;

OutstandingWork &workOf(RoutedEndpoint &endpoint, JobLength length)
{
    return length == JobLength::Long ? endpoint.longWork : endpoint.shortWork;
}

std::size_t groupIndex(EndpointTable &table, const std::string &name)
{
    const auto found = std::find_if(table.groups.begin(), table.groups.end(), [&](const EndpointGroup &group) { return group.name == name; });
    if (found != table.groups.end()) {
        return static_cast<std::size_t>(found - table.groups.begin());
    }
    table.groups.push_back({name, 0, 0});
    return table.groups.size() - 1;
}
} // namespace

EndpointIndex addEndpoint(EndpointTable &table, const std::string &name, const std::string &failureDomain, const std::string &group)
{
    RoutedEndpoint endpoint;
    endpoint.name = name;
    endpoint.failureDomain = failureDomain;
    endpoint.nameHash = hash64(name);
    endpoint.group = groupIndex(table, group);
    ++table.groups[endpoint.group].endpoints;
    for (RoutedEndpoint &other : table.endpoints) {
        if (other.group != endpoint.group) {
            continue;
        }
        if (other.nameHash < endpoint.nameHash) {
            ++endpoint.rank;
        } else {
            ++other.rank;
        }
    }
    table.endpoints.push_back(std::move(endpoint));
    return table.endpoints.size() - 1;
}

std::optional<EndpointIndex> findEndpoint(const EndpointTable &table, const std::string &name)
{
    for (EndpointIndex index = 0; index < table.endpoints.size(); ++index) {
        if (table.endpoints[index].name == name) {
            return index;
        }
    }
    return std::nullopt;
}

Dispatch startRequest(EndpointTable &table, EndpointIndex index, JobLength length, double expectedTokens)
{
    ++table.requestsSinceProbe;
    OutstandingWork &work = workOf(table.endpoints[index], length);
    ++work.requests;
    work.tokens += expectedTokens;
    table.meanTokens += meanTokensWeight * (expectedTokens - table.meanTokens);
    return {index, length, expectedTokens};
}

void recordProgress(EndpointTable &table, Dispatch &dispatch, int tokens, Duration elapsed, MonotonicTime now)
{
    RoutedEndpoint &endpoint = table.endpoints[dispatch.endpoint];
    const double done = std::min(dispatch.expectedTokens, static_cast<double>(tokens));
    dispatch.expectedTokens -= done;
    OutstandingWork &work = workOf(endpoint, dispatch.length);
    work.tokens = std::max(0.0, work.tokens - done);
    // The engine runs long jobs at low priority, so their time per token is no measure of the endpoint's speed.
    if (dispatch.length == JobLength::Short) {
        observeTokens(endpoint.slowness, tokens, elapsed);
        updateEjection(table, dispatch.endpoint, now);
    }
}

void finishRequest(EndpointTable &table, const Dispatch &dispatch)
{
    OutstandingWork &work = workOf(table.endpoints[dispatch.endpoint], dispatch.length);
    --work.requests;
    // Resets the sum of an idle endpoint, which would otherwise accumulate rounding errors.
    work.tokens = work.requests == 0 ? 0 : std::max(0.0, work.tokens - dispatch.expectedTokens);
}

void recordSuccess(EndpointTable &table, EndpointIndex index)
{
    table.endpoints[index].consecutiveFailures = 0;
    table.endpoints[index].unavailableUntil = {};
}

void recordFailure(EndpointTable &table, EndpointIndex index, MonotonicTime now)
{
    RoutedEndpoint &endpoint = table.endpoints[index];
    const int doublings = std::min(endpoint.consecutiveFailures, maxDoublings);
    ++endpoint.consecutiveFailures;
    endpoint.unavailableUntil = now + std::min(maxFailurePause, firstFailurePause * (1 << doublings));
}

void recordLoadReport(EndpointTable &table, EndpointIndex index, const LoadReport &report)
{
    RoutedEndpoint &endpoint = table.endpoints[index];
    if (endpoint.report && endpoint.report->sampledAt > report.sampledAt) {
        return;
    }
    endpoint.report = report;
    endpoint.report->slots = std::max(1, report.slots);
    endpoint.ownOutstandingAtReport = outstandingRequests(endpoint);
}

bool isDraining(const RoutedEndpoint &endpoint)
{
    return endpoint.drain.byEndpoint || endpoint.drain.byOperator || endpoint.drain.byInstanceList;
}

int outstandingRequests(const RoutedEndpoint &endpoint)
{
    return endpoint.shortWork.requests + endpoint.longWork.requests;
}

} // namespace Godwitfork
