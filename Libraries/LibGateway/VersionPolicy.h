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

/// A roll-out as one instance follows it.
struct FollowedRollout {
    RolloutOrder order;
    /// Time of the order, as far as any instance that was asked knows.
    MonotonicTime startedAt;
    TrialObservations own;
    /// Observations of the other instances together.
    TrialObservations others;
    bool isBad = false;
    /// When the instance first found that the roll-out may be ended.
    std::optional<MonotonicTime> endableSince;
};

struct VersionQuery {
    std::string service;
    std::string session;
    /// Position of the session in [0, 1), the same on all instances.
    double draw = 0;
    /// The request failed on the version under trial, so that another version is tried.
    bool avoidCandidate = false;
};

/// Decides which versions of a service a request may run on.
class VersionPolicy
{
public:
    VersionPolicy(double exposureShare, Duration sessionLifetime);

    void setOrder(const RolloutOrder &order, MonotonicTime now);
    void removeOrder(const std::string &service);
    /// Removes the endpoints whose version the request may not run on. Keeps all if no endpoint of an allowed version is left,
    /// except those of a version that was found bad.
    std::vector<const EndpointEntry *> filter(const VersionQuery &query, std::vector<const EndpointEntry *> endpoints, MonotonicTime now) const;
    /// Records the version on which a request of a session runs.
    void recordSession(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now);
    /// Adds an answer to the running trial of its service, if there is one.
    void recordAnswer(const std::string &service, const std::string &version, AnswerObservation answer);

    /// Takes over what all other instances together observed, and how long any of them has known the order.
    void mergeOthers(const TrialReport &report, MonotonicTime now);
    /// Evaluates all running trials. Returns services whose candidate was found bad since the last call.
    std::vector<std::string> evaluate();
    /// State to write for a running roll-out now; empty if there is nothing to write. `rank` orders the instances that
    /// could write; a later one only acts if the earlier ones have not.
    std::optional<RolloutState> stateToWrite(const std::string &service, int stableRequestsRunning, int rank, MonotonicTime now);

    const std::map<std::string, FollowedRollout> &rollouts() const;
    void prune(MonotonicTime now);

private:
    TrialLimits limits(const FollowedRollout &rollout) const;
    bool isCandidateChosen(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const;

    double exposureShare;
    SessionVersions sessions;
    std::map<std::string, FollowedRollout> followed;
};

} // namespace Godwitfork
