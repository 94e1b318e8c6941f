#include "LibRouting/EndpointChoice.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// One-way latency between failure domains in both deployments (section 1.3 of the design).
constexpr double failureDomainPenalty = 1500;
/// A report loses half of its weight in this time; engines report about 2 s late.
constexpr double reportHalfLife = 1'000'000;
/// Used before any token was observed, microseconds.
constexpr double assumedTimePerToken = 10'000;
/// The engine serves low-priority work behind the rest, so it delays a short request only by sharing the batch.
constexpr double lowPriorityWeight = 0.2;
/// Prefill handles a prompt token in about a twentieth of the time of a generated one.
constexpr double prefillShare = 0.05;

double otherCallersTokens(const EndpointTable &table, const RoutedEndpoint &endpoint, MonotonicTime now)
{
    if (!endpoint.report) {
        return 0;
    }
    const int own = std::max(endpoint.ownAtReport, outstandingRequests(endpoint));
    const int others = std::max(0, endpoint.report->outstanding - own);
    const auto age = static_cast<double>(std::max(Duration::zero(), now - endpoint.report->sampledAt).count());
    return others * table.meanTokens * std::exp2(-age / reportHalfLife);
}
} // namespace

double endpointScore(const EndpointTable &table, const RoutedEndpoint &endpoint, const RouteRequest &request, MonotonicTime now)
{
    const double observed = table.groups[endpoint.group].usualTimePerToken;
    const double usual = observed > 0 ? observed : assumedTimePerToken;
    const double timePerToken = usual * slownessFactor(endpoint.slowness, observed);
    const double longWeight = request.length == JobLength::Long ? 1 : lowPriorityWeight;
    const double ownTokens = endpoint.shortWork.tokens + longWeight * endpoint.longWork.tokens;
    const int slots = endpoint.report ? endpoint.report->slots : 1;
    const double backlogTokens = (ownTokens + otherCallersTokens(table, endpoint, now)) / slots;
    const double penalty = endpoint.failureDomain == table.ownFailureDomain ? 0 : failureDomainPenalty;
    return timePerToken * (backlogTokens + request.expectedTokens + prefillShare * request.prefixTokens) + penalty;
}

} // namespace Godwitfork
