#include "TrialFleet.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Godwitfork
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration step = 10ms;
constexpr Duration tickInterval = 100ms;
constexpr Duration storeDelay = 50ms;
constexpr Duration rollbackLimit = 5s;
constexpr Duration lateFaultStart = 3s;
constexpr Duration sessionLifetime = 5s;
/// Play time after the time limit, in which a bad version that was completed shows it.
constexpr Duration aftermath = 6s;
constexpr double badShare = 0.5;
constexpr double badShareUnderLoad = 0.6;
constexpr double faultSlowFactor = 8;
/// Part of a stream, as a divisor, after which its speed is judged.
constexpr int timedPart = 5;
constexpr int badAnswersTolerated = 50;
/// Standard deviation of the logarithm of a service time.
constexpr double timeSpread = 0.5;
const MonotonicTime ordered {1000s};
const std::string service = "pool";

struct Run {
    int instance = 0;
    int endpoint = 0;
    std::string route;
    MonotonicTime started;
    MonotonicTime ends;
    /// Time at which a stream has had the events by which its speed is judged.
    MonotonicTime timedAt;
    bool isTimed = false;
    bool fails = false;
    bool isBad = false;
};

class TrialFleet
{
public:
    TrialFleet(const TrialScenario &scenario, VersionFault fault, std::uint64_t seed) : scenario(scenario), fault(fault), random(seed)
    {
        for (int i = 0; i < 2 * scenario.endpointsPerVersion; ++i) {
            EndpointEntry entry;
            entry.version = i < scenario.endpointsPerVersion ? "v1" : "v2";
            entry.id = entry.version + "-" + std::to_string(i);
            entry.service = service;
            entry.slots = scenario.slots;
            this->endpoints.push_back(entry);
        }
        this->running.resize(this->endpoints.size());
        for (int i = 0; i < scenario.instances; ++i) {
            this->policies.emplace_back(scenario.exposureShare, scenario.exposureTolerance, sessionLifetime);
            this->policies.back().setOrder({service, "v2", scenario.timeLimit, RolloutState::InProgress, 5}, ordered);
            this->nextReports.push_back(ordered + scenario.reportInterval * static_cast<int>(this->random() % 100) / 100);
        }
    }

    TrialOutcome play()
    {
        MonotonicTime nextTick = ordered;
        for (MonotonicTime now = ordered; now < ordered + this->scenario.timeLimit + aftermath; now += step) {
            this->endRuns(now);
            this->exchangeReports(now);
            if (now >= nextTick) {
                nextTick = now + tickInterval;
                this->tick(now);
            }
            std::poisson_distribution<int> arrivals(this->rate(now) * std::chrono::duration<double>(step).count());
            for (int i = arrivals(this->random); i > 0; --i) {
                this->arrive(now);
            }
        }
        return this->outcome;
    }

private:
    double fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    /// The traffic swings, as that of callers does.
    double rate(MonotonicTime now) const
    {
        const double age = std::chrono::duration<double>(now - ordered).count();
        return this->scenario.requestsPerSecond * (1 + 0.4 * std::sin(age * 0.42));
    }

    const EndpointEntry &choose(const std::vector<const EndpointEntry *> &allowed)
    {
        const EndpointEntry *first = allowed[this->random() % allowed.size()];
        const EndpointEntry *second = allowed[this->random() % allowed.size()];
        return this->running[indexOf(*first)] <= this->running[indexOf(*second)] ? *first : *second;
    }

    std::size_t indexOf(const EndpointEntry &entry) const
    {
        return static_cast<std::size_t>(&entry - this->endpoints.data());
    }

    void arrive(MonotonicTime now)
    {
        const int instance = static_cast<int>(this->random() % static_cast<std::uint64_t>(this->scenario.instances));
        const std::string session = this->scenario.hasSessions ? "s" + std::to_string(this->nextSession++) : "";
        std::vector<const EndpointEntry *> all;
        for (const EndpointEntry &entry : this->endpoints) {
            if (!this->outcome.isCompleted || entry.version == "v2") {
                all.push_back(&entry);
            }
        }
        const auto allowed = this->policies[instance].filter({service, session, this->fraction(), false}, std::move(all), now);
        if (allowed.empty()) {
            return;
        }
        const EndpointEntry &chosen = this->choose(allowed);
        const bool isCandidate = chosen.version == "v2";
        const std::size_t endpoint = indexOf(chosen);
        const bool isSecondRoute = this->fraction() < 0.45;
        const int others = this->running[endpoint];
        Run run {instance, static_cast<int>(endpoint), isSecondRoute ? "r2" : "r1", now, now, now};
        double time = std::exp(std::normal_distribution<double>(0, timeSpread)(this->random)) * (1 + this->scenario.slowdownPerRequest * others);
        if (isCandidate && this->isFaulty(now, isSecondRoute, others)) {
            run.isBad = true;
            run.fails = this->fault != VersionFault::Slow;
            time *= this->fault == VersionFault::Slow ? faultSlowFactor : 1;
        }
        run.fails = run.fails || (isSecondRoute && this->fraction() < this->scenario.ownFailureShare);
        run.ends = now + std::chrono::duration_cast<Duration>(this->scenario.serviceTime * time);
        run.timedAt = this->scenario.hasSessions ? now + (run.ends - now) / timedPart : run.ends;
        if (this->scenario.hasSessions && run.fails) {
            run.ends = run.timedAt;
        }
        ++this->running[endpoint];
        this->runs.push_back(run);
        this->policies[instance].recordSession(service, session, chosen.version, now);
        this->count(isCandidate, now);
    }

    bool isFaulty(MonotonicTime now, bool isSecondRoute, int others)
    {
        switch (this->fault) {
        case VersionFault::None:
            return false;
        case VersionFault::Errors:
        case VersionFault::Slow:
            return this->fraction() < badShare;
        case VersionFault::LateErrors:
            return now - ordered >= lateFaultStart && this->fraction() < badShare;
        case VersionFault::ErrorsOnOneRoute:
            return !isSecondRoute && this->fraction() < badShare;
        case VersionFault::ErrorsUnderLoad:
            return 2 * (others + 1) >= this->scenario.slots && this->fraction() < badShareUnderLoad;
        }
        return false;
    }

    void count(bool isCandidate, MonotonicTime now)
    {
        if (now < ordered + this->scenario.timeLimit) {
            ++this->outcome.requests;
            this->outcome.onCandidate += isCandidate ? 1 : 0;
        }
        this->outcome.tooLate += isCandidate && this->fiftiethBadAt && now > *this->fiftiethBadAt + rollbackLimit ? 1 : 0;
    }

    void endRuns(MonotonicTime now)
    {
        for (Run &run : this->runs) {
            if (run.timedAt <= now && !run.isTimed) {
                run.isTimed = true;
                this->recordBegin(run);
            }
            if (!run.isTimed && !run.fails && std::chrono::duration<double>(now - run.started).count() > slowFactor * this->meanTime) {
                run.isTimed = true;
                run.timedAt = now;
                this->recordBegin(run);
            }
            if (run.ends <= now) {
                this->end(run, now);
            }
        }
        std::erase_if(this->runs, [now](const Run &run) { return run.ends <= now; });
    }

    void end(const Run &run, MonotonicTime now)
    {
        --this->running[run.endpoint];
        this->badAnswers += run.isBad ? 1 : 0;
        if (this->badAnswers >= badAnswersTolerated && !this->fiftiethBadAt) {
            this->fiftiethBadAt = now;
        }
    }

    /// A stream counts as an answer once it has begun, a plain answer once it is complete.
    void recordBegin(const Run &run)
    {
        const EndpointEntry &endpoint = this->endpoints[run.endpoint];
        const double seconds = std::chrono::duration<double>(run.timedAt - run.started).count();
        if (endpoint.version == "v1" && !run.fails) {
            this->meanTime += (seconds - this->meanTime) * 0.05;
        }
        AnswerObservation answer;
        answer.route = run.route;
        answer.endpoint = endpoint.id;
        answer.isFailure = run.fails;
        answer.isWithoutSession = !this->scenario.hasSessions;
        VersionPolicy &policy = this->policies[run.instance];
        policy.recordAnswer(service, endpoint.version, answer);
        if (!run.fails) {
            policy.recordAnswerTime(service, endpoint.version, answer, seconds / std::max(this->meanTime, 0.025));
        }
    }

    void exchangeReports(MonotonicTime now)
    {
        for (int i = 0; i < this->scenario.instances; ++i) {
            if (now < this->nextReports[i]) {
                continue;
            }
            this->nextReports[i] = now + this->scenario.reportInterval;
            PeerReport report;
            report.sender.instance = std::to_string(i);
            report.trials = this->policies[i].reports(now);
            this->hub.record(report, now);
            for (TrialReport trial : this->hub.summary(now).trials) {
                trial.observations = withoutOwn(trial.observations, report.trials.front().observations);
                this->policies[i].mergeOthers(trial, now);
            }
        }
    }

    void tick(MonotonicTime now)
    {
        int onStable = 0;
        for (int i = 0; i < this->scenario.endpointsPerVersion; ++i) {
            onStable += this->running[i];
        }
        ServiceLoads loads;
        loads.slots = this->scenario.slots;
        loads.stableEndpoints = this->scenario.endpointsPerVersion;
        loads.running = std::accumulate(this->running.begin(), this->running.end(), 0);
        for (int i = 0; i < this->scenario.instances; ++i) {
            this->policies[i].recordLoads(service, loads, now);
            this->policies[i].evaluate(now);
            const auto next = this->policies[i].stateToWrite(service, onStable, i, now);
            if (next && *next != RolloutState::InProgress && !this->written) {
                this->written = next;
                this->writtenAt = now;
            }
        }
        if (this->written && now >= this->writtenAt + storeDelay && !this->outcome.isCompleted && !this->outcome.isReverted) {
            (*this->written == RolloutState::Completed ? this->outcome.isCompleted : this->outcome.isReverted) = true;
            for (VersionPolicy &policy : this->policies) {
                policy.setOrder({service, "v2", this->scenario.timeLimit, *this->written, 6}, now);
            }
        }
    }

    const TrialScenario &scenario;
    VersionFault fault;
    std::mt19937_64 random;
    std::vector<EndpointEntry> endpoints;
    std::vector<int> running;
    std::vector<VersionPolicy> policies;
    std::vector<MonotonicTime> nextReports;
    std::vector<Run> runs;
    PeerReportAggregator hub {5s, sessionLifetime};
    std::optional<RolloutState> written;
    MonotonicTime writtenAt;
    std::optional<MonotonicTime> fiftiethBadAt;
    double meanTime = std::chrono::duration<double>(this->scenario.serviceTime).count() / (this->scenario.hasSessions ? timedPart : 1);
    int badAnswers = 0;
    int nextSession = 0;
    TrialOutcome outcome;
};
} // namespace

double TrialOutcome::allowed(const TrialScenario &scenario) const
{
    return scenario.exposureShare * this->requests + scenario.exposureTolerance;
}

TrialOutcome playTrial(const TrialScenario &scenario, VersionFault fault, std::uint64_t seed)
{
    return TrialFleet(scenario, fault, seed).play();
}

} // namespace Godwitfork
