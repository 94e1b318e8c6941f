#include "LibCapacity/LoadSpread.h"
#include "LibGateway/EndpointChooser.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time for which the other instances' requests are not seen in the load of endpoints: the age of summaries.
constexpr Duration unseenTime = std::chrono::seconds(1);
} // namespace

std::optional<EndpointChooser::SpreadChoice>
EndpointChooser::chooseSpread(const std::vector<Candidate> &candidates, const ChoiceQuery &query, RandomSource *random) const
{
    std::vector<EndpointCost> all;
    std::vector<EndpointCost> local;
    std::vector<std::size_t> localPositions;
    all.reserve(candidates.size());
    local.reserve(candidates.size());
    localPositions.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        all.push_back({candidates[i].cost, candidates[i].increment});
        if (candidates[i].remotePenalty == 0) {
            local.push_back(all.back());
            localPositions.push_back(i);
        }
    }
    if (all.empty()) {
        return std::nullopt;
    }
    const auto pick = [random](const std::vector<EndpointCost> &costs, double level) {
        return random ? drawEndpoint(costs, level, *random) : cheapestEndpoint(costs);
    };
    // Requests that other endpoints of the service can take as well are spread over those, too.
    const double candidateShare = static_cast<double>(all.size()) / static_cast<double>(std::max(all.size(), query.serviceEndpoints));
    const double unseen = this->endpointLoads.peerRequestsPerSecond(query.service) * std::chrono::duration<double>(unseenTime).count() * candidateShare;
    const double level = costLevel(all, unseen);
    SpreadChoice best {pick(all, level), level};
    const auto expectedCost = [&](const Candidate &candidate) { return std::max(candidate.cost, level) - candidate.saving + candidate.remotePenalty; };
    double bestCost = expectedCost(candidates[best.position]);
    if (!local.empty()) {
        // The instances of each failure domain send to their own endpoints first.
        const double localLevel = costLevel(local, unseen * static_cast<double>(local.size()) / static_cast<double>(all.size()));
        const std::size_t position = localPositions[pick(local, localLevel)];
        const double localCost = std::max(candidates[position].cost, localLevel) - candidates[position].saving;
        if (localCost <= bestCost) {
            best = {position, localLevel};
            bestCost = localCost;
        }
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].saving > 0 && expectedCost(candidates[i]) < bestCost) {
            best = {i, level};
            bestCost = expectedCost(candidates[i]);
        }
    }
    return best;
}

std::optional<ServiceForecast>
EndpointChooser::forecast(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const
{
    if (!this->endpointLoads.learnsCapacity()) {
        const auto choice = this->choose(candidates, query, now, random);
        return choice ? std::optional(ServiceForecast {choice->promptTime, choice->firstOutput}) : std::nullopt;
    }
    const std::vector<Candidate> assessed = this->assessAll(candidates, query, now);
    const auto spread = this->chooseSpread(assessed, query, nullptr);
    if (!spread) {
        return std::nullopt;
    }
    const Candidate &typical = assessed[spread->position];
    const std::chrono::duration<double, std::micro> wait(std::max(0.0, spread->level - typical.cost));
    return ServiceForecast {typical.choice.promptTime, typical.choice.firstOutput + std::chrono::duration_cast<Duration>(wait)};
}

} // namespace Godwitfork
