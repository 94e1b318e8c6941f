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
    std::vector<EndpointIndex> all;
    if (request.eligible) {
        all.assign(request.eligible->begin(), request.eligible->end());
        return all;
    }
    for (EndpointIndex index = 0; index < table.endpoints.size(); ++index) {
        all.push_back(index);
    }
    return all;
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
    // A probe may be slow or fail. A request that already failed once is not used for it, nor is a long job, which
    // yields its result late.
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

/// Mixes two hashes (finalizer of MurmurHash3) for the rendezvous hash over endpoints.
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

EndpointIndex randomOf(const std::vector<EndpointIndex> &candidates, RandomSource &random)
{
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
}

EndpointIndex
choosePowerOfTwo(const EndpointTable &table, const std::vector<EndpointIndex> &candidates, const RouteRequest &request, MonotonicTime now, RandomSource &random)
{
    const EndpointIndex first = randomOf(candidates, random);
    EndpointIndex second = randomOf(candidates, random);
    while (candidates.size() > 1 && second == first) {
        second = randomOf(candidates, random);
    }
    const double firstScore = endpointScore(table, table.endpoints[first], request, now);
    const double secondScore = endpointScore(table, table.endpoints[second], request, now);
    const EndpointIndex best = secondScore < firstScore ? second : first;
    if (request.prefixHash == 0) {
        return best;
    }
    // The owner of the prefix has its cached copy, so its score lacks the prefix's prefill. It stands as a third
    // choice, which a backlog longer than the prefill outweighs.
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
    // Starts at a random place, so that ties do not always fall to the first endpoint.
    EndpointIndex best = randomOf(candidates, random);
    for (const EndpointIndex index : candidates) {
        if (outstandingRequests(table.endpoints[index]) < outstandingRequests(table.endpoints[best])) {
            best = index;
        }
    }
    return best;
}

/// Keeps the candidates of the request's part of the pool. Short requests use the whole pool while their own part has
/// no free slot; long jobs never leave their part unless it is empty.
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
    return expectedTokens >= settings.longJobTokens ? JobLength::Long : JobLength::Short;
}

bool takesLongJobs(const EndpointTable &table, const RoutingSettings &settings, EndpointIndex index)
{
    const std::size_t count = table.groups[table.endpoints[index].group].endpoints;
    if (count < 2) {
        return true;
    }
    const auto share = static_cast<std::size_t>(std::ceil(settings.longJobShare * static_cast<double>(count)));
    const std::size_t places = std::clamp<std::size_t>(share, 1, count - 1);
    return table.endpoints[index].rank < places;
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
