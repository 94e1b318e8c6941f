#include "LibRouting/EndpointChoice.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// One-way network latency between the failure domains of a deployment, microseconds.
constexpr double failureDomainPenalty = 1500;
/// Half-life of a load report's weight, microseconds. Reports are about 2 s old when they arrive.
constexpr double reportHalfLife = 1'000'000;
/// Time per token before the group's first observation, microseconds.
constexpr double defaultTimePerToken = 10'000;
/// Weight of long jobs in the backlog of a short request. The engine schedules low-priority work after all other work, so it slows
/// a short request only by sharing the batch.
constexpr double lowPriorityWeight = 0.2;
/// Time to prefill a prompt token, relative to the time to generate a token.
constexpr double prefillTimeRatio = 0.05;

double estimatedTokensOfOtherCallers(const EndpointTable &table, const RoutedEndpoint &endpoint, MonotonicTime now)
{
    if (!endpoint.report) {
        return 0;
    }
    const int own = std::max(endpoint.ownOutstandingAtReport, outstandingRequests(endpoint));
    const int others = std::max(0, endpoint.report->outstanding - own);
    const auto age = static_cast<double>(std::max(Duration::zero(), now - endpoint.report->sampledAt).count());
    return others * table.meanTokens * std::exp2(-age / reportHalfLife);
}
} // namespace

double endpointScore(const EndpointTable &table, const RoutedEndpoint &endpoint, const RouteRequest &request, MonotonicTime now)
{
    const double medianTime = table.groups[endpoint.group].medianTimePerToken;
    const double expectedTimePerToken = medianTime > 0 ? medianTime : defaultTimePerToken;
    const double timePerToken = expectedTimePerToken * slownessFactor(endpoint.slowness, medianTime);
    const double longWeight = request.length == JobLength::Long ? 1 : lowPriorityWeight;
    const double ownTokens = endpoint.shortWork.tokens + longWeight * endpoint.longWork.tokens;
    const int slots = endpoint.report ? endpoint.report->slots : 1;
    const double backlogTokens = (ownTokens + estimatedTokensOfOtherCallers(table, endpoint, now)) / slots;
    const double penalty = endpoint.failureDomain == table.ownFailureDomain ? 0 : failureDomainPenalty;
    return timePerToken * (backlogTokens + request.expectedTokens + prefillTimeRatio * request.prefixTokens) + penalty;
}

} // namespace Godwitfork
