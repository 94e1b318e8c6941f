#include "LibGateway/VersionPolicy.h"

#include "LibCore/Digest.h"
#include "LibGateway/PeerReportAggregator.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Delay for each rank before an instance writes a state, so that normally only the first one writes.
constexpr Duration writerDelay = std::chrono::milliseconds(600);

/// Time for another instance's report of the age of a running roll-out to arrive. A fleet in which all processes have just started has
/// no such report.
constexpr Duration maxAgeWait = std::chrono::seconds(1);

/// Difference up to which two ages of an order count as equal; covers the time that a report is on its way.
constexpr Duration reportDelayTolerance = std::chrono::milliseconds(100);

/// Time constant of the mean of the requests in progress.
constexpr Duration runningMeanTime = std::chrono::seconds(2);

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

/// Returns the endpoints that the plan uses, in an order that is the same on all instances.
std::vector<const EndpointEntry *> plannedEndpoints(const std::vector<const EndpointEntry *> &candidate, const CandidatePlan &plan)
{
    const auto count = static_cast<std::size_t>(plan.endpointCount);
    if (count == 0 || count >= candidate.size()) {
        return candidate;
    }
    std::vector<std::pair<std::uint64_t, const EndpointEntry *>> ranked;
    ranked.reserve(candidate.size());
    for (const EndpointEntry *endpoint : candidate) {
        ranked.emplace_back(rendezvousScore(endpoint->version, endpoint->id), endpoint);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->id) < std::tie(right.first, right.second->id);
    });
    std::vector<const EndpointEntry *> planned;
    planned.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        planned.push_back(ranked[(static_cast<std::size_t>(plan.firstEndpoint) + i) % ranked.size()].second);
    }
    return planned;
}

bool isBadSince(const TrialObservations &observations, const TrialObservations &before)
{
    return isCandidateBadSince(observations, withoutOwn(observations, before), before);
}

TrialTraffic trafficOf(const FollowedRollout &rollout, const TrialObservations &observations)
{
    const TrialTotals sums = totals(observations);
    return {sums.candidate.answers + sums.stable.answers, sums.candidate.answers, rollout.meanRunning, rollout.loads.slots, rollout.loads.stableEndpoints};
}
} // namespace

TrialObservations allObservations(const FollowedRollout &rollout)
{
    TrialObservations total = rollout.own;
    total += rollout.others;
    return total;
}

VersionPolicy::VersionPolicy(double exposureShare, double exposureTolerance, Duration sessionLifetime)
    : exposureShare(exposureShare), exposureTolerance(exposureTolerance), sessions(sessionLifetime)
{
}

void VersionPolicy::setOrder(const RolloutOrder &order, MonotonicTime now, OrderOrigin origin)
{
    const auto known = this->followed.find(order.service);
    if (known != this->followed.end() && known->second.order.target == order.target) {
        FollowedRollout &rollout = known->second;
        const RolloutState before = rollout.order.state;
        const bool mayBeEarlier = rollout.isEndUnstored || rollout.order.era != order.era;
        rollout.isEndUnstored = mayBeEarlier && !isRunning(before) && isRunning(order.state);
        rollout.order = order;
        // The end of a roll-out is final: the platform then stops endpoints, and a version that was found bad stays bad.
        rollout.order.state = rollout.isEndUnstored ? before : order.state;
        return;
    }
    FollowedRollout rollout;
    rollout.order = order;
    rollout.startedAt = now;
    rollout.knownSince = now;
    rollout.isAgeKnown = origin == OrderOrigin::Change;
    this->followed[order.service] = std::move(rollout);
}

void VersionPolicy::removeOrder(const std::string &service)
{
    this->followed.erase(service);
}

TrialLimits VersionPolicy::limits(const FollowedRollout &rollout) const
{
    return {rollout.order.timeLimit, this->exposureShare, this->exposureTolerance};
}

bool VersionPolicy::isAwaitingAge(MonotonicTime now) const
{
    return std::any_of(this->followed.begin(), this->followed.end(), [now](const auto &entry) {
        const FollowedRollout &rollout = entry.second;
        return isRunning(rollout.order.state) && !rollout.isAgeKnown && now - rollout.knownSince < maxAgeWait;
    });
}

// An instance that has just started learns the open sessions with the age of the order, from the first report that it receives.
bool VersionPolicy::isExchangePending(const FollowedRollout &rollout, MonotonicTime now) const
{
    return isExchangingSessions(now - rollout.startedAt) || (!rollout.isAgeKnown && isExchangingSessions(now - rollout.knownSince));
}

bool VersionPolicy::isOnCandidate(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const
{
    return !query.session.empty() && this->sessions.find(query.service, sessionHash(query.session), now) == rollout.order.target;
}

bool VersionPolicy::isCandidateChosen(const FollowedRollout &rollout, const VersionQuery &query, const CandidatePlan &plan, MonotonicTime now) const
{
    const Duration age = now - rollout.startedAt;
    const bool hasSession = !query.session.empty();
    if (this->isOnCandidate(rollout, query, now)) {
        return true;
    }
    const bool isOpen = hasSession && this->sessions.find(query.service, sessionHash(query.session), now).has_value();
    if (!maySessionsMove(this->limits(rollout), age) && (isOpen || (hasSession && this->isExchangePending(rollout, now)))) {
        return false;
    }
    // The stable version answers what the candidate, which is on trial, did not.
    if (!hasSession && query.isRetry && !rollout.progress.isAccepted) {
        return false;
    }
    return query.draw < plan.share;
}

CandidatePlan VersionPolicy::plan(const FollowedRollout &rollout, const VersionQuery &query, MonotonicTime now) const
{
    const SessionUse use = query.session.empty() ? SessionUse::WithoutSession : SessionUse::WithSession;
    return candidatePlan(this->limits(rollout), rollout.progress, trafficOf(rollout, rollout.judged), now - rollout.startedAt, use);
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
    const bool leavesCandidate = query.hasFailedOnCandidate && isCandidateSuspect(allObservations(rollout));
    const CandidatePlan plan = this->plan(rollout, query, now);
    const bool wantsCandidate = !leavesCandidate && this->isCandidateChosen(rollout, query, plan, now);
    const bool mayUseEither = maySessionsMove(this->limits(rollout), now - rollout.startedAt);
    if (wantsCandidate) {
        if (candidate.empty() || query.isRetry) {
            return candidate.empty() ? stable : candidate;
        }
        return plannedEndpoints(candidate, plan);
    }
    // In the first half of the roll-out, candidate endpoints never replace stable ones, even if no stable endpoint is left.
    return stable.empty() && mayUseEither ? candidate : stable;
}

void VersionPolicy::recordSession(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now)
{
    if (!session.empty()) {
        this->sessions.record(service, sessionHash(session), version, now);
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

void VersionPolicy::recordLateFailure(const std::string &service, const std::string &version, AnswerObservation answer)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end() || !isRunning(known->second.order.state)) {
        return;
    }
    answer.isCandidate = version == known->second.order.target;
    Godwitfork::recordLateFailure(known->second.own, answer);
}

void VersionPolicy::recordAnswerTime(const std::string &service, const std::string &version, AnswerObservation answer, double relativeTime)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end() || !isRunning(known->second.order.state) || known->second.progress.isAccepted) {
        return;
    }
    answer.isCandidate = version == known->second.order.target;
    Godwitfork::recordAnswerTime(known->second.own, answer, relativeTime);
}

bool VersionPolicy::isCandidate(const std::string &service, const std::string &version) const
{
    const auto known = this->followed.find(service);
    return known != this->followed.end() && isRunning(known->second.order.state) && !known->second.progress.isAccepted && known->second.order.target == version;
}

std::vector<TrialReport> VersionPolicy::reports(MonotonicTime now) const
{
    std::vector<TrialReport> reports;
    for (const auto &[service, rollout] : this->followed) {
        TrialReport report {
            service, rollout.order.target, rollout.order.state, now - rollout.startedAt, rollout.isBad, rollout.progress.isAccepted, rollout.own, {}};
        const TrialLimits trialLimits = this->limits(rollout);
        if (isRunning(rollout.order.state) && !maySessionsMove(trialLimits, report.age)) {
            const CandidatePlan plan = candidatePlan(trialLimits, rollout.progress, trafficOf(rollout, rollout.judged), report.age, SessionUse::WithSession);
            report.sessions = this->sessions.pins(service, plan.share, now);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

void VersionPolicy::mergeOthers(const TrialReport &report, MonotonicTime now)
{
    const auto known = this->followed.find(report.service);
    if (known == this->followed.end() || known->second.order.target != report.target) {
        return;
    }
    FollowedRollout &rollout = known->second;
    rollout.others = report.observations;
    // A summary also holds this instance's own report, whose age is no evidence.
    rollout.isAgeKnown = rollout.isAgeKnown || now - report.age < rollout.startedAt - reportDelayTolerance;
    rollout.startedAt = std::min(rollout.startedAt, now - report.age);
    for (const SessionPin &pin : report.sessions) {
        this->sessions.recordReported(report.service, pin, now);
    }
    rollout.isBad = rollout.isBad || report.isBad;
    rollout.progress.isAccepted = rollout.progress.isAccepted || report.isAccepted;
    // An instance that cannot reach the store receives the end of a roll-out from its peers.
    if (isRunning(rollout.order.state) && !isRunning(report.state)) {
        rollout.order.state = report.state;
    }
}

void VersionPolicy::recordLoads(const std::string &service, const ServiceLoads &loads, MonotonicTime now)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end()) {
        return;
    }
    FollowedRollout &rollout = known->second;
    double weight = 1;
    if (rollout.loadsRecordedAt) {
        const std::chrono::duration<double> elapsed = now - *rollout.loadsRecordedAt;
        weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(runningMeanTime));
    }
    rollout.meanRunning += weight * (loads.running - rollout.meanRunning);
    rollout.loadsRecordedAt = now;
    rollout.loads = loads;
}

bool VersionPolicy::judge(FollowedRollout &rollout, MonotonicTime now)
{
    const TrialLimits trialLimits = this->limits(rollout);
    const Duration age = now - rollout.startedAt;
    TrialObservations observations = allObservations(rollout);
    if (rollout.progress.isAccepted && !rollout.beforeLastStep) {
        rollout.beforeLastStep = observations;
    }
    bool isBad = false;
    if (observations != rollout.judged) {
        rollout.evidence = trialEvidence(observations);
        isBad = isCandidateBad(observations) || (rollout.beforeLastStep && isBadSince(observations, *rollout.beforeLastStep));
        rollout.judged = std::move(observations);
    }
    rollout.progress.isSound = rollout.evidence == TrialEvidence::Sound;
    rollout.progress = advancePulses(rollout.progress, trialLimits, trafficOf(rollout, rollout.judged), age);
    const TrialDecision decision = rollout.progress.isAccepted ? TrialDecision::Continue : decideTrial(trialLimits, age, rollout.evidence);
    rollout.progress.isAccepted = rollout.progress.isAccepted || decision == TrialDecision::Accept;
    return isBad || decision == TrialDecision::Reject;
}

std::vector<std::string> VersionPolicy::evaluate(MonotonicTime now)
{
    std::vector<std::string> found;
    for (auto &[service, rollout] : this->followed) {
        if (!rollout.isBad && isRunning(rollout.order.state) && this->judge(rollout, now)) {
            rollout.isBad = true;
            found.push_back(service);
        }
    }
    return found;
}

std::optional<RolloutState> VersionPolicy::stateToWrite(const std::string &service, int stableRequestsRunning, int rank, MonotonicTime now)
{
    const auto known = this->followed.find(service);
    if (known == this->followed.end() || !(isRunning(known->second.order.state) || known->second.isEndUnstored)) {
        return std::nullopt;
    }
    FollowedRollout &rollout = known->second;
    std::optional<RolloutState> state;
    if (rollout.isEndUnstored) {
        state = rollout.order.state;
    } else if (rollout.isBad) {
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
