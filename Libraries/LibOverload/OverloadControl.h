#pragma once

#include "LibCore/Random.h"
#include "LibOverload/DemandView.h"
#include "LibOverload/PoolView.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Godwitfork
{

enum class AdmissionOutcome {
    Admitted,
    /// Admitted although its forecast is bad, since the endpoints are not loaded.
    AdmittedUnloaded,
    /// Not sent yet: more urgent requests are at risk, and it is expected to be on time if it is sent later.
    Deferred,
    /// Refused: its answer cannot be complete before the deadline.
    RefusedDeadline,
    /// Refused: no engine has memory for it at present.
    RefusedMemory,
    /// Refused: it exceeds the memory of an engine.
    RefusedTooLarge,
};

const char *admissionOutcomeName(AdmissionOutcome outcome);
bool isRefusal(AdmissionOutcome outcome);

/// A request before its first attempt, with the forecast for the endpoint that was chosen for it.
struct AdmissionRequest {
    std::string service;
    /// Name of the route.
    std::string kind;
    /// Priority of the account or else of the route; 0 is the most urgent.
    int priority = 0;
    Duration objective = Duration::zero();
    Duration untilObjective = Duration::zero();
    /// Time left until the deadline of the complete answer.
    Duration remaining = Duration::zero();
    /// Expected time for which an idle endpoint works on the request before its first output.
    Duration work = Duration::zero();
    /// Number of requests on which the endpoint works at the same time without slowing down; engines read one prompt after the other.
    int parallel = 1;
    /// Expected time until the first output at an endpoint of nominal speed, and at the chosen one.
    Duration nominalFirstOutput = Duration::zero();
    Duration firstOutput = Duration::zero();
    /// Mean time by which recent first outputs of the service, over all instances, were later than at an idle endpoint.
    Duration observedWait = Duration::zero();
    /// Expected time from the first output to the complete answer.
    Duration outputTime = Duration::zero();

    auto operator<=>(const AdmissionRequest &) const = default;
};

/// Endpoints to which a request may be sent, and their load.
struct PoolState {
    const std::vector<const EndpointEntry *> &endpoints;
    const EndpointLoads &loads;
    PoolKind kind = PoolKind::Engines;
};

struct AdmissionDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;
    /// Load on which a decision other than `Admitted` is based, with waits at the speed that was observed lately.
    PoolView view;

    auto operator<=>(const AdmissionDecision &) const = default;
};

/// Decides whether requests are sent to endpoints, from the forecast of each request, the load of the endpoints and the recent demand.
class OverloadControl
{
public:
    /// Records a request as demand, once before the first decision on it.
    void recordDemand(const AdmissionRequest &request, MonotonicTime now);
    /// Decides whether a request is sent. One that is deferred is decided on again after `recheckDelay`.
    AdmissionDecision decide(const AdmissionRequest &request, const PoolState &pool, MonotonicTime now) const;
    /// Time after which a deferred request is decided on again.
    static Duration recheckDelay(RandomSource &random);
    /// Whether the forecast excludes that the answer is complete before the deadline.
    static bool missesDeadline(const AdmissionRequest &request);
    /// Counts a decision on a request of a route.
    void count(const std::string &kind, AdmissionOutcome outcome);
    /// Number of decisions by route and outcome.
    const std::map<std::pair<std::string, std::string>, std::uint64_t> &counts() const;

private:
    /// Whether a request that is on time is to give way to more urgent ones.
    bool givesWay(const AdmissionRequest &request, const PoolState &pool, MonotonicTime now) const;

    std::map<std::string, DemandView> demands;
    std::map<std::pair<std::string, std::string>, std::uint64_t> outcomes;
};

} // namespace Godwitfork
