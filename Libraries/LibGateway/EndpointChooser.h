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

/// One request at one model, or at a plain service if `model` is empty.
struct ChoiceQuery {
    std::string service;
    std::string model;
    std::int64_t promptTokens = 0;
    std::vector<PromptPart> parts;
    /// Memory of one engine, in tokens.
    std::int64_t memoryTokens = 0;
    std::size_t bodyBytes = 0;
    /// Endpoints that this request has tried.
    std::set<std::string> excluded;
};

struct EndpointChoice {
    EndpointEntry endpoint;
    /// Expected time of the request's own prompt there.
    Duration promptTime = Duration::zero();
    /// Expected time until the first output, with the prompts that wait before it.
    Duration firstOutput = Duration::zero();
    /// The same at an endpoint of nominal speed.
    Duration nominalFirstOutput = Duration::zero();
    /// The same at the usual speed that the service's endpoints have now.
    Duration typicalFirstOutput = Duration::zero();
    std::int64_t uncachedTokens = 0;
    /// Key of the prompt's shared parts for the model; empty if there are none worth a detour.
    std::optional<std::uint64_t> sharedPrefixKey;
    /// The endpoint is the one on which all instances keep these parts.
    bool isHome = false;
};

/// Chooses endpoints by the expected time to the first output and by where the leading parts of the prompt are cached.
/// Instances agree on the home of a prompt part without messages, by rendezvous hash over the endpoints' ids.
class EndpointChooser
{
public:
    explicit EndpointChooser(std::string ownFailureDomain);

    /// The best of the candidates; empty if all are excluded or none is given.
    std::optional<EndpointChoice>
    choose(const std::vector<const EndpointEntry *> &candidates, const ChoiceQuery &query, MonotonicTime now, RandomSource &random) const;

    /// Records that the request goes to the endpoint.
    LoadTicket begin(const ChoiceQuery &query, const EndpointChoice &choice);
    void recordFirstOutput(LoadTicket &ticket, const ChoiceQuery &query, const EndpointChoice &choice, MonotonicTime started, MonotonicTime now);
    void end(const LoadTicket &ticket, EndpointResult result, MonotonicTime now);
    /// Adds what other instances let an engine read. `memoryTokens` is the engine's memory.
    void recordPlacement(const std::string &endpoint, const std::vector<CachedPart> &parts, std::int64_t memoryTokens);
    /// Shared parts that own requests let engines read since the last call.
    CachePlacements takePlacements();
    /// Drops what is known about an endpoint that restarted or left.
    void forget(const std::string &endpoint);

    EngineSpeeds &speeds();
    const EngineSpeeds &speeds() const;
    EndpointLoads &loads();
    const EndpointLoads &loads() const;

private:
    EndpointChoice predict(const EndpointEntry &endpoint, const ChoiceQuery &query, const std::vector<std::uint64_t> &chain, MonotonicTime now) const;

    std::string ownFailureDomain;
    EndpointLoads endpointLoads;
    EngineSpeeds engineSpeeds;
    std::map<std::string, PromptCacheView> caches;
    /// Not yet told to the other instances.
    CachePlacements untold;
};

} // namespace Godwitfork
