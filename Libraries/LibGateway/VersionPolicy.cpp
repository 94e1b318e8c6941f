#include "LibGateway/VersionPolicy.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Delay for each rank before an instance writes a state, so that normally only the first one writes.
constexpr Duration writerDelay = std::chrono::milliseconds(600);

bool isRunning(RolloutState state)
{
    return state == RolloutState::Ordered || state == RolloutState::InProgress;
}

std::vector<const EndpointEntry *> withVersion(const std::vector<const EndpointEntry *> &endpoints, const std::string &version, bool wanted)
{
    std::vector<const EndpointEntry *> result;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(result), [&](const EndpointEntry *endpoint) {
        return (endpoint->version == version) == wanted;
    });
    return result;
}
} // namespace

VersionPolicy::VersionPolicy(double exposureShare, Duration sessionLifetime) : exposureShare(exposureShare), sessions(sessionLifetime)
{
}

void VersionPolicy::setOrder(const RolloutOrder &order, MonotonicTime now)
{
    const auto known = this->followed.find(order.service);
    if (known != this->followed.end() && known->second.order.target == order.target) {
        known->second.order = order;
        return;
    }
    FollowedRollout rollout;
    rollout.order = order;
    rollout.startedAt = now;
    this->followed[order.service] = std::move(rollout);
}

void VersionPolicy::removeOrder(const std::string &service)
{
    this->followed.erase(service);
}

TrialLimits VersionPolicy::limits(const FollowedRollout &rollout) const
{
    return {rollout.order.timeLimit, this->exposureShare};
}

bool VersionPolicy::isCandidateChosen(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const
{
    const Duration age = now - rollout.startedAt;
    const std::optional<std::string> version = query.session.empty() ? std::nullopt : this->sessions.find(query.service, query.session, now);
    if (version == rollout.order.target) {
        return true;
    }
    if (version && !maySessionsMove(this->limits(rollout), age)) {
        return false;
    }
    return query.draw < candidateShare(this->limits(rollout), age);
}

std::vector<const EndpointEntry *> VersionPolicy::filter(const VersionQuery &query, std::vector<const EndpointEntry *> endpoints, MonotonicTime now) const
{
    const auto known = this->followed.find(query.service);
    if (known == this->followed.end()) {
        return endpoints;
    }
    const FollowedRollout &rollout = known->second;
    const std::string &target = rollout.order.target;
    std::vector<const EndpointEntry *> stable = withVersion(endpoints, target, false);
    std::vector<const EndpointEntry *> candidate = withVersion(endpoints, target, true);
    if (rollout.isBad || rollout.order.state == RolloutState::Reverted) {
        return stable;
    }
    if (rollout.order.state == RolloutState::Completed) {
        return candidate.empty() ? stable : candidate;
    }
    const bool wantsCandidate = !query.avoidCandidate && this->isCandidateChosen(rollout, query, now);
    const bool mayUseEither = maySessionsMove(this->limits(rollout), now - rollout.startedAt);
    if (wantsCandidate) {
        return candidate.empty() ? stable : candidate;
    }
    // In the first half of the roll-out, candidate endpoints never replace stable ones, even if no stable endpoint is left.
    return stable.empty() && mayUseEither ? candidate : stable;
}

void VersionPolicy::recordSession(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now)
{
    if (!session.empty()) {
        this->sessions.record(service, session, version, now);
    }
}

void VersionPolicy::recordAnswer(const std::string &service, const std::string &version, AnswerObservation answer)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end() || !isRunning(known->second.order.state)) {
        return;
    }
    answer.isCandidate = version == known->second.order.target;
    Godwitfork::recordAnswer(known->second.own, answer);
}

void VersionPolicy::mergeOthers(const TrialReport &report, MonotonicTime now)
{
    const auto known = this->followed.find(report.service);
    if (known == this->followed.end() || known->second.order.target != report.target) {
        return;
    }
    FollowedRollout &rollout = known->second;
    rollout.others = report.observations;
    rollout.startedAt = std::min(rollout.startedAt, now - report.age);
    rollout.isBad = rollout.isBad || report.isBad;
    // An instance that cannot reach the store receives the end of a roll-out from its peers.
    if (isRunning(rollout.order.state) && !isRunning(report.state)) {
        rollout.order.state = report.state;
    }
}

std::vector<std::string> VersionPolicy::evaluate()
{
    std::vector<std::string> found;
    for (auto &[service, rollout] : this->followed) {
        if (rollout.isBad || !isRunning(rollout.order.state)) {
            continue;
        }
        TrialObservations total = rollout.own;
        total += rollout.others;
        if (isCandidateBad(total)) {
            rollout.isBad = true;
            found.push_back(service);
        }
    }
    return found;
}

std::optional<RolloutState> VersionPolicy::stateToWrite(const std::string &service, int stableRequestsRunning, int rank, MonotonicTime now)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end() || !isRunning(known->second.order.state)) {
        return std::nullopt;
    }
    FollowedRollout &rollout = known->second;
    std::optional<RolloutState> state;
    if (rollout.isBad) {
        state = RolloutState::Reverted;
    } else if (mayComplete(this->limits(rollout), now - rollout.startedAt, stableRequestsRunning)) {
        state = RolloutState::Completed;
    } else if (rollout.order.state == RolloutState::Ordered) {
        state = RolloutState::InProgress;
    }
    if (!state) {
        rollout.writeDueSince.reset();
        return std::nullopt;
    }
    if (!rollout.writeDueSince) {
        rollout.writeDueSince = now;
    }
    return now - *rollout.writeDueSince >= writerDelay * rank ? state : std::nullopt;
}

const std::map<std::string, FollowedRollout> &VersionPolicy::rollouts() const
{
    return this->followed;
}

void VersionPolicy::prune(MonotonicTime now)
{
    this->sessions.prune(now);
}

} // namespace Godwitfork
