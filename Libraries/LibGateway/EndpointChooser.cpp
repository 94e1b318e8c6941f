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
/// Share of a prompt's reading time that is subtracted at the home of its shared prefix, 0 to 1: later requests find the prefix cached there.
constexpr double homeSavingShare = 0.6;
/// Shorter shared prefixes get no cache affinity: reading them again takes less time than a detour to their home.
constexpr std::int64_t minAffinityTokens = 1024;
/// Share of the engine's key-value cache that is assumed to hold reusable prompt parts, 0 to 1; running requests use the rest.
constexpr double cacheShare = 0.7;
/// Weight of an endpoint's failure share: its expected time is multiplied by 1 + failureWeight * share.
constexpr double failureWeight = 4;
/// Added to the expected time of an endpoint in another failure domain, so that an equal endpoint in the own one is preferred.
constexpr Duration remotePenalty = std::chrono::milliseconds(5);
/// Traffic between failure domains is expensive, so a long body is sent to another one only if that saves this much time for each kilobyte.
constexpr Duration remotePenaltyPerKilobyte = std::chrono::milliseconds(6);
constexpr std::size_t bytesPerKilobyte = 1024;
/// Relative increase of the expected time for each concurrent request at the engine.
constexpr double slowdownPerRequest = 0.02;
/// Weight of the prior, in observations: the service's mean for the slowdown of an endpoint, 0 for its failure share.
constexpr double priorObservations = 3;
/// Relative increase of the expected time at an endpoint of a plain service from idle to all slots taken, if its capacity is learned. Requests do not wait
/// for each other while slots are free; the increase spreads them over equal endpoints.
constexpr double slotUseSlowdown = 0.2;
/// Expected time of one request at an idle endpoint of nominal speed of a service without models.
constexpr Duration plainServiceTime = std::chrono::milliseconds(60);
/// Scores are multiplied by a random factor between 1 and 1 + scoreJitter, so that instances with the same view do not all choose one endpoint.
constexpr double scoreJitter = 0.1;

/// Key of the prompt prefix that other requests may share, without the last part, which is the request's own; empty if the prefix is too short.
std::optional<std::uint64_t> findSharedPrefix(const ChoiceQuery &query, const std::vector<std::uint64_t> &prefixKeys)
{
    if (prefixKeys.size() < 2) {
        return std::nullopt;
    }
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
        tokens += query.parts[i].tokens;
    }
    return tokens < minAffinityTokens ? std::nullopt : std::optional(prefixKeys[prefixKeys.size() - 2]);
}

std::string findHome(const std::vector<const EndpointEntry *> &candidates, std::uint64_t key)
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

double toMicroseconds(Duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}
} // namespace

EndpointChooser::EndpointChooser(std::string ownFailureDomain) : ownFailureDomain(std::move(ownFailureDomain))
{
}

EndpointChoice EndpointChooser::predict(const EndpointEntry &endpoint, const EndpointLoad &load, const CommonInputs &inputs) const
{
    const ChoiceQuery &query = inputs.query;
    EndpointChoice choice;
    if (query.model.empty()) {
        const int slots = std::max(1, endpoint.slots);
        choice.promptTime = plainServiceTime;
        const double slotUse = static_cast<double>(load.concurrentRequests()) / slots;
        const double factor = this->endpointLoads.learnsCapacity() ? 1 + slotUseSlowdown * slotUse + std::max(0.0, slotUse + 1.0 / slots - 1) : 1 + slotUse;
        choice.nominalFirstOutput = scaled(plainServiceTime, factor);
    } else {
        std::int64_t cached = 0;
        if (const auto cache = this->caches.find(endpoint.id); cache != this->caches.end()) {
            cached = cache->second.cachedTokens(inputs.prefixKeys, query.parts);
        }
        choice.uncachedTokens = std::max<std::int64_t>(0, query.promptTokens - cached);
        choice.promptTime = cached == 0 ? inputs.wholePrompt : this->engineSpeeds.promptTime(query.service, query.model, choice.uncachedTokens);
        choice.nominalFirstOutput = scaled(choice.promptTime + load.waitingPromptTime(), 1 + slowdownPerRequest * load.concurrentRequests());
    }
    const Duration learnedFirstOutput = scaled(choice.nominalFirstOutput, this->endpointLoads.relativeTime(load, inputs.now));
    const double priorWeight = priorObservations * std::chrono::duration<double>(learnedFirstOutput).count();
    choice.firstOutput = scaled(learnedFirstOutput, meanWithPrior(load.firstOutputTimes.valueAt(inputs.now), inputs.serviceSlowdown, priorWeight));
    return choice;
}

Duration EndpointChooser::remoteCost(const EndpointEntry &endpoint, const ChoiceQuery &query) const
{
    if (endpoint.failureDomain == this->ownFailureDomain) {
        return Duration::zero();
    }
    return remotePenalty + remotePenaltyPerKilobyte * static_cast<std::int64_t>(query.bodyBytes / bytesPerKilobyte);
}

void EndpointChooser::assess(Candidate &candidate, const CommonInputs &inputs) const
{
    const EndpointLoad &load = *candidate.load;
    const EndpointChoice &choice = candidate.choice;
    const bool isPlain = inputs.query.model.empty();
    const Duration idleTime = isPlain ? choice.promptTime : choice.promptTime + load.waitingPromptTime();
    const double factor = toMicroseconds(choice.firstOutput) / std::max(1.0, toMicroseconds(idleTime));
    const double failureShare = meanWithPrior(load.fleetFailures(inputs.now), 0, priorObservations);
    candidate.saving = isPlain ? 0 : toMicroseconds(inputs.wholePrompt - choice.promptTime) * factor;
    candidate.cost = (toMicroseconds(choice.firstOutput) + candidate.saving) * (1 + failureWeight * failureShare);
    if (choice.isHome) {
        candidate.saving += toMicroseconds(choice.promptTime) * homeSavingShare;
    }
    candidate.increment = toMicroseconds(choice.promptTime) * factor / (isPlain ? std::max(1, candidate.endpoint->slots) : 1);
    candidate.remotePenalty = toMicroseconds(this->remoteCost(*candidate.endpoint, inputs.query));
    if (load.isAvoided(inputs.now)) {
        candidate.cost += toMicroseconds(std::chrono::hours(1));
    }
}

EndpointChoice EndpointChooser::take(Candidate &candidate)
{
    candidate.choice.endpoint = *candidate.endpoint;
    return std::move(candidate.choice);
}

std::vector<EndpointChooser::Candidate>
EndpointChooser::assessAll(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now) const
{
    CommonInputs inputs {query, now, promptPrefixKeys(query.model, query.parts), this->endpointLoads.meanSlowdown(query.service, now)};
    if (!query.model.empty()) {
        inputs.wholePrompt = this->engineSpeeds.promptTime(query.service, query.model, std::max<std::int64_t>(query.promptTokens, 0));
    }
    const std::optional<std::uint64_t> key = query.model.empty() ? std::nullopt : findSharedPrefix(query, inputs.prefixKeys);
    const std::string home = key ? findHome(candidates, *key) : std::string();
    std::vector<Candidate> assessed;
    assessed.reserve(candidates.size());
    for (const EndpointEntry *endpoint : candidates) {
        if (query.excluded.contains(endpoint->id)) {
            continue;
        }
        Candidate &candidate = assessed.emplace_back();
        candidate.endpoint = endpoint;
        candidate.load = &this->endpointLoads.find(endpoint->id);
        candidate.choice = this->predict(*endpoint, *candidate.load, inputs);
        candidate.choice.sharedPrefixKey = key;
        candidate.choice.isHome = endpoint->id == home;
        if (this->endpointLoads.learnsCapacity()) {
            this->assess(candidate, inputs);
        }
    }
    return assessed;
}

std::optional<EndpointChoice>
EndpointChooser::choose(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const
{
    std::vector<Candidate> assessed = this->assessAll(candidates, query, now);
    if (this->endpointLoads.learnsCapacity()) {
        const auto spread = this->chooseSpread(assessed, query, &random);
        return spread ? std::optional(take(assessed[spread->position])) : std::nullopt;
    }
    std::uniform_real_distribution<double> jitter(1, 1 + scoreJitter);
    Candidate *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (Candidate &candidate : assessed) {
        const EndpointChoice &choice = candidate.choice;
        Duration cost = choice.firstOutput;
        if (choice.isHome) {
            cost -= scaled(choice.promptTime, homeSavingShare);
        }
        cost += this->remoteCost(*candidate.endpoint, query);
        const double failureShare = meanWithPrior(candidate.load->fleetFailures(now), 0, priorObservations);
        double score = static_cast<double>(cost.count()) * (1 + failureWeight * failureShare) * jitter(random);
        // The penalty exceeds any expected time, so an endpoint in back-off is used only if all candidates are.
        if (candidate.load->isAvoided(now)) {
            score += static_cast<double>(Duration(std::chrono::hours(1)).count());
        }
        if (score < bestScore) {
            bestScore = score;
            best = &candidate;
        }
    }
    return best ? std::optional(take(*best)) : std::nullopt;
}

LoadTicket EndpointChooser::begin(const ChoiceQuery &query, const EndpointChoice &choice)
{
    if (!query.model.empty()) {
        std::vector<CachedPart> parts = cachedParts(promptPrefixKeys(query.model, query.parts), query.parts);
        this->recordPlacement(choice.endpoint.id, parts, query.memoryTokens);
        if (choice.sharedPrefixKey) {
            std::vector<CachedPart> &unreported = this->unreportedPlacements[endpointKey(choice.endpoint.id)];
            unreported.insert(unreported.end(), parts.begin(), std::prev(parts.end()));
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
    return std::exchange(this->unreportedPlacements, {});
}

void EndpointChooser::recordFirstOutput(LoadTicket &ticket,
                                        const ChoiceQuery &query,
                                        const EndpointChoice &choice,
                                        MonotonicTime started,
                                        MonotonicTime now,
                                        ObservationUse use)
{
    const EndpointLoad &load = this->endpointLoads.find(ticket.endpoint);
    const bool wasQueueEmpty = load.waitingPromptTime() <= ticket.expectedPrompt;
    if (!query.model.empty() && use == ObservationUse::Service) {
        const PromptQueue queue = wasQueueEmpty ? PromptQueue::Empty : PromptQueue::Possible;
        // Without the engine's relative time, the nominal speed would depend on which engines this instance has used last.
        const Duration atNominalSpeed = scaled(now - started, 1 / this->endpointLoads.relativeTime(load, now));
        this->engineSpeeds.recordPrompt(query.service, query.model, choice.uncachedTokens, atNominalSpeed, queue);
    }
    this->endpointLoads.recordFirstOutput(ticket, now - started, choice.nominalFirstOutput, now, use);
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
