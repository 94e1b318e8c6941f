#include "LibRouting/EndpointChoice.h"

#include "LibRouting/Ejection.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
enum class Suspended { Allowed, Avoided };

bool contains(std::span<const EndpointIndex> list, EndpointIndex index)
{
    return std::find(list.begin(), list.end(), index) != list.end();
}

bool mayServe(const EndpointTable &table, const RouteRequest &request, EndpointIndex index)
{
    return !isDraining(table.endpoints[index]) && !contains(request.excluded, index);
}

std::vector<EndpointIndex> eligibleEndpoints(const EndpointTable &table, const RouteRequest &request)
{
    std::vector<EndpointIndex> endpoints;
    if (request.eligible) {
        endpoints.assign(request.eligible->begin(), request.eligible->end());
        return endpoints;
    }
    for (EndpointIndex index = 0; index < table.endpoints.size(); ++index) {
        endpoints.push_back(index);
    }
    return endpoints;
}

std::vector<EndpointIndex> candidatesFor(const EndpointTable &table, const RouteRequest &request, Suspended suspended, MonotonicTime now)
{
    std::vector<EndpointIndex> candidates;
    for (const EndpointIndex index : eligibleEndpoints(table, request)) {
        if (!mayServe(table, request, index)) {
            continue;
        }
        if (suspended == Suspended::Allowed || !isSuspended(table.endpoints[index], now)) {
            candidates.push_back(index);
        }
    }
    return candidates;
}

std::optional<EndpointIndex> dueProbe(EndpointTable &table, const RouteRequest &request, MonotonicTime now)
{
    // A probe may be slow or fail, so a request that has failed once is not used as one. Neither is a long job, because its
    // result arrives late.
    if (!request.excluded.empty() || request.length == JobLength::Long || !mayProbe(table, now)) {
        return std::nullopt;
    }
    for (const EndpointIndex index : eligibleEndpoints(table, request)) {
        if (mayServe(table, request, index) && isProbeDue(table.endpoints[index], now)) {
            return index;
        }
    }
    return std::nullopt;
}

/// Combines two hashes with the finaliser of MurmurHash3, for rendezvous hashing over endpoints.
std::uint64_t mixHashes(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t mixed = left ^ (right * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 33U)) * 0xff51afd7ed558ccdULL;
    mixed = (mixed ^ (mixed >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return mixed ^ (mixed >> 33U);
}

EndpointIndex prefixOwner(const EndpointTable &table, const std::vector<EndpointIndex> &candidates, std::uint64_t prefixHash)
{
    return *std::max_element(candidates.begin(), candidates.end(), [&](EndpointIndex left, EndpointIndex right) {
        return mixHashes(prefixHash, table.endpoints[left].nameHash) < mixHashes(prefixHash, table.endpoints[right].nameHash);
    });
}

EndpointIndex pickRandom(const std::vector<EndpointIndex> &candidates, RandomSource &random)
{
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
}

EndpointIndex
choosePowerOfTwo(const EndpointTable &table, const std::vector<EndpointIndex> &candidates, const RouteRequest &request, MonotonicTime now, RandomSource &random)
{
    const EndpointIndex first = pickRandom(candidates, random);
    EndpointIndex second = pickRandom(candidates, random);
    while (candidates.size() > 1 && second == first) {
        second = pickRandom(candidates, random);
    }
    const double firstScore = endpointScore(table, table.endpoints[first], request, now);
    const double secondScore = endpointScore(table, table.endpoints[second], request, now);
    const EndpointIndex best = secondScore < firstScore ? second : first;
    if (request.prefixHash == 0) {
        return best;
    }
    // The owner of the prefix holds a cached copy, so it is scored without the prefill of the prefix, as a third candidate. It
    // loses to the other two if its backlog takes longer than that prefill.
    const EndpointIndex owner = prefixOwner(table, candidates, request.prefixHash);
    RouteRequest cached = request;
    cached.prefixTokens = 0;
    return endpointScore(table, table.endpoints[owner], cached, now) < std::min(firstScore, secondScore) ? owner : best;
}

EndpointIndex chooseRoundRobin(EndpointTable &table, const std::vector<EndpointIndex> &candidates)
{
    return candidates[table.roundRobinPosition++ % candidates.size()];
}

EndpointIndex chooseLeastOutstanding(const EndpointTable &table, const std::vector<EndpointIndex> &candidates, RandomSource &random)
{
    // Starts with a random endpoint, so that ties are not always resolved in favour of the first one.
    EndpointIndex best = pickRandom(candidates, random);
    for (const EndpointIndex index : candidates) {
        if (outstandingRequests(table.endpoints[index]) < outstandingRequests(table.endpoints[best])) {
            best = index;
        }
    }
    return best;
}

/// Returns the candidates in the request's part of the pool. Short requests use all candidates while their own part has no free
/// slot; long jobs do so only if their part has no candidate.
std::vector<EndpointIndex>
separateLongJobs(const EndpointTable &table, const RoutingSettings &settings, const RouteRequest &request, const std::vector<EndpointIndex> &candidates)
{
    std::vector<EndpointIndex> part;
    bool hasFreeSlot = false;
    for (const EndpointIndex index : candidates) {
        if (takesLongJobs(table, settings, index) != (request.length == JobLength::Long)) {
            continue;
        }
        const RoutedEndpoint &endpoint = table.endpoints[index];
        hasFreeSlot = hasFreeSlot || outstandingRequests(endpoint) < (endpoint.report ? endpoint.report->slots : 1);
        part.push_back(index);
    }
    if (part.empty() || (request.length == JobLength::Short && !hasFreeSlot)) {
        return candidates;
    }
    return part;
}
} // namespace

JobLength jobLength(const RoutingSettings &settings, double expectedTokens)
{
    // The baseline policies treat all jobs as short.
    return settings.policy == RoutingPolicy::PowerOfTwo && expectedTokens >= settings.longJobTokens ? JobLength::Long : JobLength::Short;
}

bool takesLongJobs(const EndpointTable &table, const RoutingSettings &settings, EndpointIndex index)
{
    const std::size_t count = table.groups[table.endpoints[index].group].endpoints;
    if (count < 2) {
        return true;
    }
    const auto share = static_cast<std::size_t>(std::ceil(settings.longJobShare * static_cast<double>(count)));
    const std::size_t longJobEndpoints = std::clamp<std::size_t>(share, 1, count - 1);
    return table.endpoints[index].rank < longJobEndpoints;
}

std::optional<EndpointIndex>
chooseEndpoint(EndpointTable &table, const RoutingSettings &settings, const RouteRequest &request, MonotonicTime now, RandomSource &random)
{
    std::vector<EndpointIndex> candidates = candidatesFor(table, request, Suspended::Avoided, now);
    if (settings.policy == RoutingPolicy::PowerOfTwo) {
        if (const auto probe = dueProbe(table, request, now)) {
            recordProbe(table, *probe, now);
            return probe;
        }
    }
    if (candidates.empty() || settings.policy != RoutingPolicy::PowerOfTwo) {
        candidates = candidatesFor(table, request, Suspended::Allowed, now);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    switch (settings.policy) {
    case RoutingPolicy::RoundRobin:
        return chooseRoundRobin(table, candidates);
    case RoutingPolicy::LeastOutstanding:
        return chooseLeastOutstanding(table, candidates, random);
    case RoutingPolicy::PowerOfTwo:
        break;
    }
    return choosePowerOfTwo(table, separateLongJobs(table, settings, request, candidates), request, now, random);
}

} // namespace Godwitfork
