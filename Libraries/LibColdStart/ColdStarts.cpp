#include "LibColdStart/ColdStarts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Age that an entry may have when it arrives. One that arrives sooner after a failure may have been written before it.
constexpr Duration maxEntryAge = std::chrono::milliseconds(1200);
/// Age that an output may have when it is reported, beyond its stated age: the time of the messages that carry it.
constexpr Duration outputTransit = std::chrono::milliseconds(300);
/// Time, besides the cold time, after which a failure without a further sign is forgotten. An endpoint whose loss only this instance saw, for
/// example through a lost link, would otherwise never get a request of this instance again.
constexpr Duration suspicionTime = std::chrono::seconds(1);
/// Time constant with which `EndpointLoads` decays reported failures.
constexpr Duration failureTimeConstant = std::chrono::seconds(4);
/// Rise of the reported failures that is a further failure, beyond the differences in the age of two reports.
constexpr double minRise = 0.5;
constexpr double riseFactor = 1.3;
/// Interval of updates of the fleet. Shorter than the reports that change it, and long against the time that an update of 330 members takes.
constexpr Duration fleetUpdateInterval = std::chrono::milliseconds(500);
/// An endpoint at which as many requests failed lately, and at most a quarter as many are left, has lost them all at once. Requests still
/// reported are from instances that have not detected the loss. One that answers with errors has output to other requests, so fewer failures need silence.
constexpr double failuresOfLost = 2;
constexpr double maxRunningShare = 0.25;
constexpr Duration silenceOfLost = std::chrono::seconds(1);
/// Time within which a rise of the reported failures and the loss of all requests belong together.
constexpr Duration riseTime = std::chrono::seconds(3);

Duration suspicionLimit(const ColdRule &rule)
{
    return rule.coldTime + suspicionTime;
}

/// End of the time in which an endpoint that was lost may be cold; empty if it was not lost.
std::optional<MonotonicTime> suspectUntil(const ColdState &state, const ColdRule &rule)
{
    if (!state.failedAt) {
        return std::nullopt;
    }
    const MonotonicTime latest = *state.failedAt + suspicionLimit(rule);
    return state.answeredAt ? std::min(latest, *state.answeredAt + rule.coldTime) : latest;
}

std::optional<MonotonicTime> boundedUntil(const ColdState &state, const ColdRule &rule)
{
    const auto suspect = suspectUntil(state, rule);
    return suspect && state.coldUntil ? std::max(*suspect, *state.coldUntil) : suspect ? suspect : state.coldUntil;
}

/// Time until a window has room for one more request of an instance with an allowance of at least 1.
Duration timeToRoom(const ColdState &state, int allowance, MonotonicTime now)
{
    const auto first = std::find_if(state.sent.begin(), state.sent.end(), [now](MonotonicTime time) { return now - time < coldWindow; });
    const auto sent = state.sent.end() - first;
    return sent < allowance ? Duration::zero() : *(state.sent.end() - allowance) + coldWindow - now;
}
} // namespace

const char *coldPhaseName(ColdPhase phase)
{
    switch (phase) {
    case ColdPhase::Warm:
        return "warm";
    case ColdPhase::Cold:
        return "cold";
    case ColdPhase::Suspect:
        return "suspect";
    case ColdPhase::SlowStart:
        return "slow_start";
    }
    return "warm";
}

void ColdStarts::recordEntry(const std::string &endpoint, const ColdEntry &entry, MonotonicTime now)
{
    const auto [position, isNew] = this->states.try_emplace(endpoint);
    ColdState &state = position->second;
    if (!isNew && state.entry == entry) {
        return;
    }
    const bool isRestarted = !isNew && state.entry.incarnation != entry.incarnation;
    // An endpoint whose clock was set back restarts with a smaller incarnation, so one that says cold is not ignored.
    const bool isOlderStart = entry.incarnation < state.entry.incarnation && entry.coldRemaining == Duration::zero();
    const bool isOlderRenewal = !isRestarted && entry.sequence < state.entry.sequence;
    if (!isNew && (isOlderStart || isOlderRenewal)) {
        return;
    }
    state.entry = entry;
    if (isRestarted) {
        state.failedAt.reset();
        state.failuresRoseAt.reset();
        state.newFailures = 0;
        state.coldUntil.reset();
    }
    if (state.failedAt && now - *state.failedAt > maxEntryAge) {
        state.failedAt.reset();
    }
    const bool wasCold = state.coldUntil && now < *state.coldUntil;
    if (entry.coldRemaining > Duration::zero()) {
        state.coldUntil = now + entry.coldRemaining;
        // Instances that have not received the entry yet may still send requests, which the shares leave no room for.
        if (!isNew && !wasCold) {
            state.openAt = now + coldWindow;
        }
        this->updateRank(endpoint, state);
        return;
    }
    if (wasCold) {
        state.coldUntil = now;
    }
}

void ColdStarts::forget(const std::string &endpoint)
{
    this->states.erase(endpoint);
}

void ColdStarts::recordFailure(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now)
{
    const auto known = this->states.find(endpoint);
    if (known == this->states.end() || known->second.entry.incarnation != incarnation) {
        return;
    }
    ColdState &state = known->second;
    if (!state.failedAt || state.answeredAt) {
        state.openAt = std::max(state.openAt, now + coldWindow);
    }
    state.failedAt = now;
    state.answeredAt.reset();
    this->updateRank(endpoint, state);
}

void ColdStarts::recordReportedFailures(const std::string &endpoint, double failures, int running, Duration sinceOutput, MonotonicTime now)
{
    const auto known = this->states.find(endpoint);
    if (known == this->states.end()) {
        return;
    }
    ColdState &state = known->second;
    if (state.failuresRoseAt && now - *state.failuresRoseAt >= riseTime) {
        state.failuresRoseAt.reset();
        state.newFailures = 0;
    }
    if (failures != state.reportedFailures) {
        const double elapsed = std::chrono::duration<double>(now - state.reportedAt) / failureTimeConstant;
        const double expected = state.reportedFailures * std::exp(-elapsed);
        if (failures > expected * riseFactor + minRise) {
            state.failuresRoseAt = now;
            state.newFailures += failures - expected;
        }
        // The endpoint's load is forgotten when it restarts, while the reports still have its earlier failures.
        if (failures > expected) {
            state.reportedFailures = failures;
            state.reportedAt = now;
        }
    }
    const bool hasLostMost = state.newFailures >= failuresOfLost && running <= state.newFailures * maxRunningShare;
    const bool isLost = hasLostMost || (running == 0 && sinceOutput >= silenceOfLost);
    if (state.failuresRoseAt && isLost) {
        state.failuresRoseAt.reset();
        state.newFailures = 0;
        this->recordFailure(endpoint, state.entry.incarnation, now);
    }
}

void ColdStarts::recordOutput(const std::string &endpoint, MonotonicTime time)
{
    const auto known = this->states.find(endpoint);
    if (known == this->states.end() || !known->second.failedAt || known->second.answeredAt) {
        return;
    }
    if (time > *known->second.failedAt + outputTransit) {
        known->second.answeredAt = time;
    }
}

void ColdStarts::recordRequest(const std::string &endpoint, MonotonicTime now)
{
    std::deque<MonotonicTime> &sent = this->states[endpoint].sent;
    while (!sent.empty() && now - sent.front() >= coldWindow) {
        sent.pop_front();
    }
    sent.push_back(now);
}

bool ColdStarts::isFleetUpdateDue(MonotonicTime now) const
{
    return now >= this->nextFleetUpdate;
}

void ColdStarts::updateFleet(const FleetContacts &contacts, MonotonicTime now)
{
    this->nextFleetUpdate = now + fleetUpdateInterval;
    this->fleet.update(contacts, now);
    for (auto &[endpoint, state] : this->states) {
        const bool isUsed = state.failedAt || (state.coldUntil && now < *state.coldUntil + slowStartTime);
        if (isUsed && state.rankVersion != this->fleet.version()) {
            this->updateRank(endpoint, state);
        }
    }
}

void ColdStarts::updateRank(const std::string &endpoint, ColdState &state) const
{
    state.rank = this->fleet.rankFor(endpoint);
    state.instances = this->fleet.size();
    state.rankVersion = this->fleet.version();
}

Duration ColdStarts::timeToRequest(const std::string &endpoint, const ColdRule &rule, MonotonicTime now) const
{
    const ColdState *state = this->find(endpoint);
    const auto end = state ? boundedUntil(*state, rule) : std::nullopt;
    if (!end || now >= *end + slowStartTime) {
        return Duration::zero();
    }
    const bool isCold = now < *end;
    const int allowanceOfAll = isCold ? coldAllowance(rule) : slowStartAllowance(rule, now - *end);
    const int allowance = state->rank ? instanceAllowance(allowanceOfAll, *state->rank, state->instances) : 0;
    if (allowance == 0) {
        const Duration entry = state->rank ? slowStartEntry(rule, *state->rank) : slowStartTime;
        return std::max(Duration(1), *end + entry - now);
    }
    const Duration pause = isCold ? state->openAt - now : Duration::zero();
    return std::max({Duration::zero(), pause, timeToRoom(*state, allowance, now)});
}

ColdPhase ColdStarts::phase(const std::string &endpoint, const ColdRule &rule, MonotonicTime now) const
{
    const ColdState *state = this->find(endpoint);
    const auto end = state ? boundedUntil(*state, rule) : std::nullopt;
    if (!end || now >= *end + slowStartTime) {
        return ColdPhase::Warm;
    }
    if (now >= *end) {
        return ColdPhase::SlowStart;
    }
    return state->coldUntil && now < *state->coldUntil ? ColdPhase::Cold : ColdPhase::Suspect;
}

std::optional<ColdPhase> ColdStarts::updatePhase(const std::string &endpoint, const ColdRule &rule, MonotonicTime now)
{
    const auto known = this->states.find(endpoint);
    if (known == this->states.end()) {
        return std::nullopt;
    }
    const ColdPhase phase = this->phase(endpoint, rule, now);
    return std::exchange(known->second.phase, phase) == phase ? std::nullopt : std::optional(phase);
}

const ColdState *ColdStarts::find(const std::string &endpoint) const
{
    const auto known = this->states.find(endpoint);
    return known == this->states.end() ? nullptr : &known->second;
}

} // namespace Godwitfork
