#include "LibGateway/PeerReportAggregator.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Godwitfork
{

namespace
{
EndpointUsage aged(EndpointUsage usage, Duration sinceReport)
{
    if (usage.sinceOutput) {
        *usage.sinceOutput += sinceReport;
    }
    return usage;
}

/// Adds pins of sessions; of a session with several pins the newest one is kept.
void addPins(std::vector<SessionPin> &pins, const std::vector<SessionPin> &added)
{
    for (const SessionPin &pin : added) {
        const auto known = std::find_if(pins.begin(), pins.end(), [&](const SessionPin &other) { return other.session == pin.session; });
        if (known == pins.end()) {
            pins.push_back(pin);
        } else if (pin.idle < known->idle) {
            *known = pin;
        }
    }
}

void addTrial(std::vector<TrialReport> &trials, const TrialReport &added, Duration sinceReport)
{
    const auto known =
        std::find_if(trials.begin(), trials.end(), [&](const TrialReport &trial) { return trial.service == added.service && trial.target == added.target; });
    TrialReport current = added;
    current.age += sinceReport;
    for (SessionPin &pin : current.sessions) {
        pin.idle += sinceReport;
    }
    if (known == trials.end()) {
        trials.push_back(std::move(current));
        return;
    }
    known->state = std::max(known->state, current.state);
    known->age = std::max(known->age, current.age);
    known->isBad = known->isBad || current.isBad;
    known->isAccepted = known->isAccepted || current.isAccepted;
    known->observations += current.observations;
    addPins(known->sessions, current.sessions);
}

/// Keeps the endpoints with failures or slow answers, or with a mean time above the expected one. Of the others two are kept, as evidence that the version runs
/// on more endpoints.
void dropHealthyEndpoints(std::map<std::string, AnswerCounts> &endpoints)
{
    constexpr int keptHealthy = 2;
    int healthy = 0;
    std::erase_if(endpoints, [&](const auto &entry) {
        return entry.second.failures == 0 && entry.second.slow == 0 && entry.second.times.logSum <= 0 && ++healthy > keptHealthy;
    });
}

AnswerCounts difference(const AnswerCounts &total, const AnswerCounts &own)
{
    const auto part = [](std::int64_t whole, std::int64_t less) { return std::max<std::int64_t>(0, whole - less); };
    // The sums of logarithms may be negative; they are consistent only as long as the total includes the own answers.
    RelativeTimes times;
    if (total.times.answers > own.times.answers) {
        times = {total.times.answers - own.times.answers, total.times.logSum - own.times.logSum, part(total.times.logSquareSum, own.times.logSquareSum)};
    }
    return {part(total.answers, own.answers), part(total.failures, own.failures), part(total.slow, own.slow), times};
}

std::map<std::string, AnswerCounts> difference(const std::map<std::string, AnswerCounts> &total, const std::map<std::string, AnswerCounts> &own)
{
    std::map<std::string, AnswerCounts> result = total;
    for (const auto &[name, counts] : own) {
        const auto known = result.find(name);
        if (known != result.end()) {
            known->second = difference(known->second, counts);
        }
    }
    return result;
}
} // namespace

PeerReportAggregator::PeerReportAggregator(Duration lifetime, Duration sessionLifetime) : lifetime(lifetime), sessionLifetime(sessionLifetime)
{
}

void PeerReportAggregator::recordSessions(const TrialReport &trial, MonotonicTime now)
{
    std::map<std::uint64_t, OpenSession> &known = this->openSessions[{trial.service, trial.target}];
    for (const SessionPin &pin : trial.sessions) {
        const MonotonicTime lastUse = now - pin.idle;
        const auto [session, isNew] = known.try_emplace(pin.session, OpenSession {pin.version, lastUse});
        if (!isNew && session->second.lastUse < lastUse) {
            session->second = {pin.version, lastUse};
        }
    }
}

void PeerReportAggregator::setSessions(TrialReport &trial, MonotonicTime now) const
{
    trial.sessions.clear();
    const auto known = this->openSessions.find({trial.service, trial.target});
    if (known == this->openSessions.end()) {
        return;
    }
    for (const auto &[session, open] : known->second) {
        trial.sessions.push_back({session, open.version, now - open.lastUse});
    }
}

void PeerReportAggregator::record(PeerReport report, MonotonicTime now)
{
    std::string instance = report.sender.instance;
    for (const TrialReport &trial : report.trials) {
        this->recordSessions(trial, now);
    }
    this->entries[std::move(instance)] = {std::move(report), now};
}

void PeerReportAggregator::expire(MonotonicTime now)
{
    std::erase_if(this->entries, [&](const auto &entry) { return now - entry.second.received > this->lifetime; });
    for (auto &[trial, sessions] : this->openSessions) {
        std::erase_if(sessions, [&](const auto &session) { return now - session.second.lastUse > this->sessionLifetime; });
    }
    std::erase_if(this->openSessions, [](const auto &trial) { return trial.second.empty(); });
}

PeerSummary PeerReportAggregator::summary(MonotonicTime now) const
{
    PeerSummary summary;
    std::set<LeavingEndpoint> leaving;
    for (const auto &[instance, entry] : this->entries) {
        const PeerReport &report = entry.report;
        summary.members.push_back({report.sender, now - entry.received});
        if (report.configuration > summary.configuration) {
            summary.configuration = report.configuration;
            summary.configurationHolder = report.sender.address;
        }
        for (const auto &[endpoint, usage] : report.endpoints) {
            summary.endpoints[endpoint] += aged(usage, now - entry.received);
        }
        for (const auto &[service, serviceStatistics] : report.statistics) {
            summary.statistics[service] += serviceStatistics;
        }
        for (const auto &[endpoint, parts] : report.placements) {
            std::vector<CachedPart> &known = summary.placements[endpoint];
            known.insert(known.end(), parts.begin(), parts.end());
        }
        leaving.insert(report.leaving.begin(), report.leaving.end());
        for (const TrialReport &trial : report.trials) {
            addTrial(summary.trials, trial, now - entry.received);
        }
        addEvidence(summary.promptEvidence, report.promptEvidence, now - entry.received);
        addLimitReports(summary.limits, report.limits, now - entry.received);
    }
    summary.memberCount = static_cast<std::int64_t>(summary.members.size());
    for (TrialReport &trial : summary.trials) {
        dropHealthyEndpoints(trial.observations.candidateByEndpoint);
        this->setSessions(trial, now);
    }
    summary.leaving.assign(leaving.begin(), leaving.end());
    return summary;
}

void addSummary(PeerSummary &total, const PeerSummary &added, Duration age)
{
    total.memberCount += added.memberCount;
    for (const MemberSighting &sighting : added.members) {
        total.members.push_back({sighting.member, sighting.age + age});
    }
    if (added.configuration > total.configuration) {
        total.configuration = added.configuration;
        total.configurationHolder = added.configurationHolder;
    }
    for (const auto &[endpoint, usage] : added.endpoints) {
        total.endpoints[endpoint] += aged(usage, age);
    }
    for (const auto &[service, serviceStatistics] : added.statistics) {
        total.statistics[service] += serviceStatistics;
    }
    for (const auto &[endpoint, parts] : added.placements) {
        std::vector<CachedPart> &known = total.placements[endpoint];
        known.insert(known.end(), parts.begin(), parts.end());
    }
    for (const LeavingEndpoint &endpoint : added.leaving) {
        if (std::find(total.leaving.begin(), total.leaving.end(), endpoint) == total.leaving.end()) {
            total.leaving.push_back(endpoint);
        }
    }
    for (const TrialReport &trial : added.trials) {
        addTrial(total.trials, trial, age);
    }
    addEvidence(total.promptEvidence, added.promptEvidence, age);
    addLimitReports(total.limits, added.limits, age);
}

int memberRank(const std::vector<FleetMember> &members, const std::string &instance, const std::string &task)
{
    const std::uint64_t own = rendezvousScore(task, instance);
    return static_cast<int>(std::count_if(members.begin(), members.end(), [&](const FleetMember &member) {
        return member.instance != instance && rendezvousScore(task, member.instance) > own;
    }));
}

EndpointUsageMap withoutOwn(const EndpointUsageMap &total, const EndpointUsageMap &own)
{
    EndpointUsageMap result = total;
    for (const auto &[endpoint, usage] : own) {
        const auto known = result.find(endpoint);
        if (known != result.end()) {
            known->second.running = std::max(0, known->second.running - usage.running);
            known->second.pendingPromptTime = std::max(Duration::zero(), known->second.pendingPromptTime - usage.pendingPromptTime);
            known->second.failures -= usage.failures;
            known->second.relativeTimes -= usage.relativeTimes;
        }
    }
    return result;
}

ServiceStatisticsMap withoutOwn(const ServiceStatisticsMap &total, const ServiceStatisticsMap &own)
{
    ServiceStatisticsMap result = total;
    for (const auto &[service, serviceStatistics] : own) {
        const auto known = result.find(service);
        if (known != result.end()) {
            known->second -= serviceStatistics;
        }
    }
    return result;
}

TrialObservations withoutOwn(const TrialObservations &total, const TrialObservations &own)
{
    return {difference(total.candidateByRoute, own.candidateByRoute),
            difference(total.candidateByEndpoint, own.candidateByEndpoint),
            difference(total.stableByRoute, own.stableByRoute)};
}

} // namespace Godwitfork
