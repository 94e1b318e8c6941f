#pragma once

#include "LibCore/Random.h"
#include "LibGateway/EndpointLoads.h"
#include "LibGateway/EngineSpeeds.h"
#include "LibGateway/GatewayRequest.h"
#include "LibGateway/PromptCacheView.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Properties of a request for which an endpoint is chosen; `model` is empty for a service without models.
struct ChoiceQuery {
    std::string service;
    std::string model;
    std::int64_t promptTokens = 0;
    std::vector<PromptPart> parts;
    /// Capacity of one engine's key-value cache, in tokens.
    std::int64_t memoryTokens = 0;
    std::size_t bodyBytes = 0;
    /// Number of endpoints that requests of all kinds to the service may use, candidates or not; 0 if these are the candidates.
    std::size_t serviceEndpoints = 0;
    /// Ids of the endpoints that this request has already tried.
    std::set<std::string> excluded;
};

/// Expected times of a request to a service, before an endpoint is chosen for it.
struct ServiceForecast {
    /// Expected time until the endpoint has read the request's own uncached prompt tokens.
    Duration promptTime = Duration::zero();
    /// Expected time until the first output, including the prompts that are queued and, if capacity is learned, those that other instances send
    /// meanwhile.
    Duration firstOutput = Duration::zero();
};

struct EndpointChoice {
    EndpointEntry endpoint;
    /// Expected time until the endpoint has read the request's own uncached prompt tokens.
    Duration promptTime = Duration::zero();
    /// Expected time until the first output, including the prompts that are queued before this one.
    Duration firstOutput = Duration::zero();
    /// Expected time until the first output if the endpoint had nominal speed.
    Duration nominalFirstOutput = Duration::zero();
    std::int64_t uncachedTokens = 0;
    /// Hash of the prompt prefix that other requests share; empty if the prefix is too short for cache affinity.
    std::optional<std::uint64_t> sharedPrefixKey;
    /// Whether the endpoint is the home of the shared prefix: the endpoint that rendezvous hashing selects for it.
    bool isHome = false;
};

/// Chooses endpoints by the expected time to the first output and by prompt cache affinity. Instances agree on the home of a
/// shared prompt prefix without messages, since each one computes it by rendezvous hashing over the endpoints' ids.
class EndpointChooser
{
public:
    explicit EndpointChooser(std::string ownFailureDomain);

    /// Returns the candidate with the lowest expected cost; empty if there are no candidates or all are excluded.
    std::optional<EndpointChoice>
    choose(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const;

    /// Returns what a typical choice would expect; empty if there is no choice. If capacity is learned, it depends on the view alone and draws no
    /// endpoint, so that forecasts for several models can be compared.
    std::optional<ServiceForecast>
    forecast(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const;

    /// Records that the request is sent to the chosen endpoint.
    LoadTicket begin(const ChoiceQuery &query, const EndpointChoice &choice);
    /// `use` tells whether the time is an observation of the service's usual speed.
    void recordFirstOutput(LoadTicket &ticket,
                           const ChoiceQuery &query,
                           const EndpointChoice &choice,
                           MonotonicTime started,
                           MonotonicTime now,
                           ObservationUse use = ObservationUse::Service);
    void end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now);
    /// Records prompt parts that an engine has read and probably cached. `memoryTokens` is the capacity of the engine's
    /// key-value cache in tokens.
    void recordPlacement(const std::string &endpoint, const std::vector<CachedPart> &parts, std::int64_t memoryTokens);
    /// Returns the shared prompt parts that engines have read for requests of this instance since the last call.
    CachePlacements takePlacements();
    /// Drops the load, health and cache contents recorded for an endpoint that restarted or left.
    void forget(const std::string &endpoint);

    EngineSpeeds &speeds();
    const EngineSpeeds &speeds() const;
    EndpointLoads &loads();
    const EndpointLoads &loads() const;

private:
    /// Choice of one candidate and the parts of its cost, in microseconds.
    struct Candidate {
        /// Its endpoint is filled in only if it is chosen, since a copy for each candidate takes processor time.
        EndpointChoice choice;
        const EndpointEntry *endpoint = nullptr;
        const EndpointLoad *load = nullptr;
        /// Expected time until the first output without a cached prompt, increased for failures.
        double cost = 0;
        /// Increase of the cost by a further request.
        double increment = 1;
        /// What cached prompt parts save, now and for later requests.
        double saving = 0;
        /// Cost of traffic to another failure domain.
        double remotePenalty = 0;
    };

    struct SpreadChoice {
        std::size_t position = 0;
        /// Cost to which the requests of all instances raise the endpoints among which it was chosen.
        double level = 0;
    };

    /// Inputs that are the same for all candidates of a choice.
    struct CommonInputs {
        const ChoiceQuery &query;
        MonotonicTime now;
        std::vector<std::uint64_t> prefixKeys;
        /// Observed over expected times at all endpoints of the service.
        double serviceSlowdown = 1;
        /// Time of the request's prompt at an idle engine that has none of it cached.
        Duration wholePrompt = Duration::zero();
    };

    /// Adds the parts of the cost to a candidate with a prediction.
    void assess(Candidate &candidate, const CommonInputs &inputs) const;
    std::vector<Candidate> assessAll(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now) const;
    /// Chooses so that the requests which all instances send before they see each other's load are spread over the endpoints. Without `random`, the
    /// cheapest endpoint stands for all that may be drawn, which cost the same at the level. Empty if there are no candidates.
    std::optional<SpreadChoice> chooseSpread(const std::vector<Candidate> &candidates, const ChoiceQuery &query, RandomSource *random) const;
    Duration remoteCost(const EndpointEntry &endpoint, const ChoiceQuery &query) const;
    EndpointChoice predict(const EndpointEntry &endpoint, const EndpointLoad &load, const CommonInputs &inputs) const;
    /// Moves the choice out of a candidate and fills in its endpoint.
    static EndpointChoice take(Candidate &candidate);

    std::string ownFailureDomain;
    EndpointLoads endpointLoads;
    EngineSpeeds engineSpeeds;
    std::map<std::string, PromptCacheView> caches;
    /// Shared prompt parts that were not reported to the other instances yet.
    CachePlacements unreportedPlacements;
};

} // namespace Godwitfork
