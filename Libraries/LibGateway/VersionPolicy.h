#pragma once

#include "LibGateway/Catalog.h"
#include "LibGateway/PeerReport.h"
#include "LibGateway/SessionVersions.h"
#include "LibRollout/VersionTrial.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Load of a service's endpoints.
struct ServiceLoads {
    /// Requests in progress at all endpoints, of all instances.
    int running = 0;
    /// Slots of one endpoint.
    int slots = 1;
    /// Number of endpoints of other versions than the target.
    int stableEndpoints = 0;

    auto operator<=>(const ServiceLoads &) const = default;
};

/// State of a roll-out in one instance.
struct FollowedRollout {
    RolloutOrder order;
    /// Whether the store returned from a copy with an earlier state of the order, so that the end in `order` is to be written again.
    bool isEndUnstored = false;
    /// Earliest time at which this instance or any reporting one received the order.
    MonotonicTime startedAt;
    /// Time at which this instance received the order.
    MonotonicTime knownSince;
    /// Whether `startedAt` is the age of the order: the instance saw the order being written or has the report of another one.
    bool isAgeKnown = true;
    /// Observations of this instance.
    TrialObservations own;
    /// Sum of the observations of the other instances.
    TrialObservations others;
    /// Whether any instance found the target version bad.
    bool isBad = false;
    TrialProgress progress;
    ServiceLoads loads;
    /// Mean of the requests in progress at all endpoints over the last seconds, and when it was updated.
    double meanRunning = 0;
    std::optional<MonotonicTime> loadsRecordedAt;
    /// Observations when this instance learned of the last step; empty before.
    std::optional<TrialObservations> beforeLastStep;
    /// Observations that were judged last, and the result.
    TrialObservations judged;
    TrialEvidence evidence = TrialEvidence::Undecided;
    /// Time since which the instance has a new state of the roll-out to write.
    std::optional<MonotonicTime> writeDueSince;
};

/// Observations of all instances, as far as they were reported.
TrialObservations allObservations(const FollowedRollout &rollout);

/// How an instance learned of an order.
enum class OrderOrigin {
    /// A change of the store: the order is new.
    Change,
    /// The first list of the store after the process started: the order may be old.
    FirstList,
};

struct VersionQuery {
    std::string service;
    std::string session;
    /// Hash of the session in [0, 1), the same on all instances; a session uses the candidate if it is below the share of the trial.
    double draw = 0;
    /// Whether the request failed on the candidate; if the candidate is suspected to be bad, the stable version is tried.
    bool hasFailedOnCandidate = false;
    /// Whether the request was already sent to an endpoint.
    bool isRetry = false;
};

/// Decides on which versions of a service a request may run during a roll-out.
class VersionPolicy
{
public:
    /// `exposureShare` and `exposureTolerance`: see `TrialLimits`.
    VersionPolicy(double exposureShare, double exposureTolerance, Duration sessionLifetime);

    void setOrder(const RolloutOrder &order, MonotonicTime now, OrderOrigin origin = OrderOrigin::Change);
    void removeOrder(const std::string &service);
    /// Returns the endpoints whose version the request may run on. If the candidate is chosen but has no endpoint, the stable ones are
    /// returned. If no stable endpoint is left, the candidate ones are returned only once open sessions may move. A version that was
    /// found bad is never returned.
    std::vector<const EndpointEntry *> filter(const VersionQuery &query, std::vector<const EndpointEntry *> endpoints, MonotonicTime now) const;
    /// Records the version on which a request of a session runs.
    void recordSession(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now);
    /// Adds an answer to the service's trial if one is running.
    void recordAnswer(const std::string &service, const std::string &version, AnswerObservation answer);
    /// Adds the failure of an answer that was recorded as a success when it began.
    void recordLateFailure(const std::string &service, const std::string &version, AnswerObservation answer);

    /// Whether this instance has just started and waits for another one to report the age of a running roll-out. Without it, sessions that
    /// have moved to the candidate would move back.
    bool isAwaitingAge(MonotonicTime now) const;
    /// Returns this instance's reports of all roll-outs.
    std::vector<TrialReport> reports(MonotonicTime now) const;
    /// Replaces the observations of the other instances and merges the sessions, age, state and result of the trial that they report.
    void mergeOthers(const TrialReport &report, MonotonicTime now);
    /// Records how long an answer took relative to the expected time, until the candidate of the service is accepted.
    void recordAnswerTime(const std::string &service, const std::string &version, AnswerObservation answer, double relativeTime);
    /// Whether the version is under trial and was not accepted yet.
    bool isCandidate(const std::string &service, const std::string &version) const;
    /// Replaces the loads of a service under roll-out, from which the candidate's part of the requests is planned.
    void recordLoads(const std::string &service, const ServiceLoads &loads, MonotonicTime now);
    /// Evaluates all running trials and returns the services whose candidate was found bad by this call.
    std::vector<std::string> evaluate(MonotonicTime now);
    /// Returns the state of a running roll-out to write to the store now; empty if there is none. `rank` is the instance's position among
    /// the possible writers: each one waits longer than the one before, and writes only if the earlier ones have not.
    std::optional<RolloutState> stateToWrite(const std::string &service, int stableRequestsRunning, int rank, MonotonicTime now);

    const std::map<std::string, FollowedRollout> &rollouts() const;
    /// Removes sessions that have ended.
    void prune(MonotonicTime now);

private:
    TrialLimits limits(const FollowedRollout &rollout) const;
    bool isExchangePending(const FollowedRollout &rollout, MonotonicTime now) const;
    /// Whether an open session of the request runs on the candidate.
    bool isOnCandidate(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const;
    bool isCandidateChosen(const FollowedRollout &rollout, const VersionQuery &query, const CandidatePlan &plan, MonotonicTime now) const;
    CandidatePlan plan(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const;
    /// Updates the evidence of a trial and returns whether its candidate is bad.
    bool judge(FollowedRollout &rollout, MonotonicTime now);

    double exposureShare;
    double exposureTolerance;
    SessionVersions sessions;
    std::map<std::string, FollowedRollout> followed;
};

} // namespace Godwitfork
