#include "LibGateway/EndpointChooser.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Part of a prompt's reading time that counts as saved at the home of its leading parts, since later requests find them there.
constexpr double homeShare = 0.6;
/// Leading parts below this are read faster than a detour pays for.
constexpr std::int64_t minAffinityTokens = 1024;
/// Share of the engine's memory that cached parts are assumed to keep; running requests use the rest.
constexpr double cacheShare = 0.7;
/// Weight of an endpoint's failure share against its expected time.
constexpr double failureWeight = 4;
/// Added to the expected time in another failure domain, so that equal endpoints nearby go first.
constexpr Duration remoteTime = std::chrono::milliseconds(5);
/// Bytes between failure domains are dear, so a long body goes to another one only if that saves as much time.
constexpr Duration remoteTimePerKilobyte = std::chrono::milliseconds(6);
constexpr std::size_t bytesPerKilobyte = 1024;
/// Expected slowdown by each request that runs beside.
constexpr double slowdownPerRequest = 0.02;
/// Observations that count as having been as usual, before an endpoint's first one.
constexpr double assumedObservations = 3;
/// Expected time of one request at a plain service, before its slowness.
constexpr Duration plainServiceTime = std::chrono::milliseconds(60);
/// Scores within this share count as equal, so that instances with the same view do not all pick one endpoint.
constexpr double scoreJitter = 0.1;

/// The leading part of a prompt that other requests share; the last part is the request's own.
std::optional<std::uint64_t> sharedKey(const ChoiceQuery &query, const std::vector<std::uint64_t> &chain)
{
    if (chain.size() < 2) {
        return std::nullopt;
    }
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
        tokens += query.parts[i].tokens;
    }
    return tokens < minAffinityTokens ? std::nullopt : std::optional(chain[chain.size() - 2]);
}

std::string homeOf(const std::vector<const EndpointEntry *> &candidates, std::uint64_t key)
{
    const std::string keyText = std::to_string(key);
    std::uint64_t best = 0;
    std::string home;
    for (const EndpointEntry *candidate : candidates) {
        const std::uint64_t score = rendezvousScore(keyText, candidate->id);
        if (home.empty() || score > best) {
            best = score;
            home = candidate->id;
        }
    }
    return home;
}

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}
} // namespace

EndpointChooser::EndpointChooser(std::string ownFailureDomain) : ownFailureDomain(std::move(ownFailureDomain))
{
}

EndpointChoice
EndpointChooser::predict(const EndpointEntry &endpoint, const ChoiceQuery &query, const std::vector<std::uint64_t> &chain, MonotonicTime now) const
{
    const EndpointLoad &load = this->endpointLoads.find(endpoint.id);
    EndpointChoice choice;
    choice.endpoint = endpoint;
    if (query.model.empty()) {
        const int slots = std::max(1, endpoint.slots);
        choice.promptTime = plainServiceTime;
        choice.nominalFirstOutput = scaled(plainServiceTime, 1 + static_cast<double>(load.requestsBeside()) / slots);
    } else {
        std::int64_t cached = 0;
        if (const auto cache = this->caches.find(endpoint.id); cache != this->caches.end()) {
            cached = cache->second.cachedTokens(chain, query.parts);
        }
        choice.uncachedTokens = std::max<std::int64_t>(0, query.promptTokens - cached);
        choice.promptTime = this->engineSpeeds.promptTime(query.service, query.model, choice.uncachedTokens);
        choice.nominalFirstOutput = scaled(choice.promptTime + load.waitingPrompts(), 1 + slowdownPerRequest * load.requestsBeside());
    }
    const double usual = this->endpointLoads.meanSlowdown(query.service, now);
    const double assumedWeight = assumedObservations * std::chrono::duration<double>(choice.nominalFirstOutput).count();
    choice.firstOutput = scaled(choice.nominalFirstOutput, blendedMean(load.times.at(now), usual, assumedWeight));
    choice.typicalFirstOutput = scaled(choice.nominalFirstOutput, usual);
    return choice;
}

std::optional<EndpointChoice>
EndpointChooser::choose(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const
{
    const std::vector<std::uint64_t> chain = promptChain(query.model, query.parts);
    const std::optional<std::uint64_t> key = query.model.empty() ? std::nullopt : sharedKey(query, chain);
    const std::string home = key ? homeOf(candidates, *key) : std::string();
    std::uniform_real_distribution<double> jitter(1, 1 + scoreJitter);
    std::optional<EndpointChoice> best;
    double bestScore = std::numeric_limits<double>::max();
    for (const EndpointEntry *candidate : candidates) {
        if (query.excluded.contains(candidate->id)) {
            continue;
        }
        EndpointChoice choice = this->predict(*candidate, query, chain, now);
        Duration cost = choice.firstOutput;
        choice.sharedPrefixKey = key;
        choice.isHome = candidate->id == home;
        if (choice.isHome) {
            cost -= scaled(choice.promptTime, homeShare);
        }
        if (candidate->failureDomain != this->ownFailureDomain) {
            cost += remoteTime + remoteTimePerKilobyte * static_cast<std::int64_t>(query.bodyBytes / bytesPerKilobyte);
        }
        const double failureShare = blendedMean(this->endpointLoads.find(candidate->id).fleetFailures(now), 0, assumedObservations);
        double score = static_cast<double>(cost.count()) * (1 + failureWeight * failureShare) * jitter(random);
        // An avoided endpoint is only used if all are.
        if (this->endpointLoads.isAvoided(candidate->id, now)) {
            score += static_cast<double>(Duration(std::chrono::hours(1)).count());
        }
        if (score < bestScore) {
            bestScore = score;
            best = std::move(choice);
        }
    }
    return best;
}

LoadTicket EndpointChooser::begin(const ChoiceQuery &query, const EndpointChoice &choice)
{
    if (!query.model.empty()) {
        std::vector<CachedPart> parts = cachedParts(promptChain(query.model, query.parts), query.parts);
        this->recordPlacement(choice.endpoint.id, parts, query.memoryTokens);
        if (choice.sharedPrefixKey) {
            std::vector<CachedPart> &told = this->untold[choice.endpoint.id];
            told.insert(told.end(), parts.begin(), std::prev(parts.end()));
        }
    }
    return this->endpointLoads.begin(choice.endpoint, choice.promptTime);
}

void EndpointChooser::recordPlacement(const std::string &endpoint, const std::vector<CachedPart> &parts, std::int64_t memoryTokens)
{
    const auto capacity = static_cast<std::int64_t>(static_cast<double>(memoryTokens) * cacheShare);
    this->caches.try_emplace(endpoint, capacity).first->second.record(parts);
}

CachePlacements EndpointChooser::takePlacements()
{
    return std::exchange(this->untold, {});
}

void EndpointChooser::recordFirstOutput(LoadTicket &ticket, const ChoiceQuery &query, const EndpointChoice &choice, MonotonicTime started, MonotonicTime now)
{
    const EndpointLoad &load = this->endpointLoads.find(ticket.endpoint);
    const bool wasAlone = load.waitingPrompts() <= ticket.expectedPrompt;
    if (!query.model.empty()) {
        const PromptQueue queue = wasAlone ? PromptQueue::Empty : PromptQueue::Possible;
        this->engineSpeeds.recordPrompt(query.service, query.model, choice.uncachedTokens, now - started, queue);
    }
    this->endpointLoads.recordFirstOutput(ticket, now - started, choice.nominalFirstOutput, now);
}

void EndpointChooser::end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now)
{
    this->endpointLoads.end(ticket, result, now);
}

void EndpointChooser::forget(const std::string &endpoint)
{
    this->endpointLoads.forget(endpoint);
    this->caches.erase(endpoint);
}

EngineSpeeds &EndpointChooser::speeds()
{
    return this->engineSpeeds;
}

const EngineSpeeds &EndpointChooser::speeds() const
{
    return this->engineSpeeds;
}

EndpointLoads &EndpointChooser::loads()
{
    return this->endpointLoads;
}

const EndpointLoads &EndpointChooser::loads() const
{
    return this->endpointLoads;
}

} // namespace Godwitfork
