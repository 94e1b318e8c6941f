#include "ColdFleet.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Godwitfork
{

using namespace std::chrono_literals;

namespace
{
constexpr Duration step = 10ms;
constexpr Duration tick = 100ms;
constexpr Duration membershipTimeout = 5s;
constexpr Duration maxSummaryAge = 2500ms;
constexpr Duration renewalInterval = 500ms;
constexpr Duration runTime = 4s;
constexpr double endpoints = 60;
constexpr double reportLoss = 0.05;
constexpr double manyReportLoss = 0.6;
constexpr int seedInstances = 4;
const MonotonicTime start {1000s};
const std::string endpoint = "cold";

struct Report {
    MonotonicTime at;
    int running = 0;
    double failures = 0;
    MonotonicTime lastOutput;
};

struct Summary {
    MonotonicTime due;
    int running = 0;
    double failures = 0;
    MonotonicTime lastOutput;
    /// Number of other instances whose reports it includes.
    int covered = 0;
    std::vector<MonotonicTime> heard;
};

struct PendingEntry {
    MonotonicTime due;
    ColdEntry entry;
};

struct Instance {
    std::string address;
    int domain = 0;
    ColdStarts starts;
    bool isRunning = true;
    bool knowsEndpoint = false;
    std::vector<MonotonicTime> heard;
    std::vector<Summary> summaries;
    std::vector<PendingEntry> entries;
    Summary summary;
    MonotonicTime summaryAt;
    MonotonicTime nextReport;
    int running = 0;
    double failures = 0;
    MonotonicTime failedAt;
    MonotonicTime lastOutput;
    double queued = 0;
    /// Rank among the live instances and their number, for the mutation that uses them.
    int liveRank = 0;
    int live = 1;
    std::uint64_t life = 0;
};

struct Arrival {
    MonotonicTime at;
    int instance;
    std::uint64_t life;
};

class Play
{
public:
    explicit Play(const FleetPlan &plan) : plan(plan), random(plan.seed)
    {
        this->hasEndpoint = plan.turn != ColdTurn::Appears;
        this->latest = {1, 1, 0s};
        const auto count = static_cast<std::size_t>(plan.instances);
        this->instances.resize(count);
        this->board.resize(count);
        this->heardByDomain.assign(static_cast<std::size_t>(plan.domains), std::vector<MonotonicTime>(count));
        for (int i = 0; i < plan.instances; ++i) {
            this->instances[static_cast<std::size_t>(i)].address = "10.0.0." + std::to_string(i) + ":90";
            this->instances[static_cast<std::size_t>(i)].domain = i % plan.domains;
            this->begin(i, start);
        }
        this->coldFrom = start + plan.turnAt + (plan.turn == ColdTurn::Crash ? plan.downTime : Duration::zero());
        this->coldEnd = this->coldFrom + plan.rule.coldTime;
        if (this->hasEndpoint) {
            this->loadEndpoint();
        }
    }

    FleetResult run()
    {
        const MonotonicTime end = this->coldEnd + slowStartTime + 2s;
        for (MonotonicTime now = start; now < end; now += step) {
            this->advanceEndpoint(now);
            this->advanceFaults(now);
            if ((now - start) % 300ms == Duration::zero()) {
                this->exchangeDomains(now);
            }
            for (int i = 0; i < this->plan.instances; ++i) {
                this->advance(i, now);
            }
            this->deliver(now);
        }
        FleetResult result;
        result.mostInSecond = this->most(1s, this->coldFrom, this->coldEnd);
        result.arrivedCold = this->most(this->plan.rule.coldTime, this->coldFrom, this->coldEnd);
        result.mostInSlowStart = this->most(250ms, this->coldEnd, this->coldEnd + slowStartTime);
        result.mostAfter = this->most(250ms, this->coldEnd + slowStartTime, end);
        return result;
    }

private:
    Instance &at(int i)
    {
        return this->instances[static_cast<std::size_t>(i)];
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    Duration drawTime(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random));
    }

    bool has(FleetFaultKind kind, int i, MonotonicTime now) const
    {
        return std::any_of(this->plan.faults.begin(), this->plan.faults.end(), [&](const FleetFault &fault) {
            return fault.kind == kind && fault.instance % this->plan.instances == i && now >= start + fault.at && now < start + fault.at + fault.lasts;
        });
    }

    bool isDomainCut(int domain, MonotonicTime now) const
    {
        return std::any_of(this->plan.faults.begin(), this->plan.faults.end(), [&](const FleetFault &fault) {
            return fault.kind == FleetFaultKind::DomainCut && fault.instance % this->plan.domains == domain && now >= start + fault.at
                && now < start + fault.at + fault.lasts;
        });
    }

    bool areReportsLost(MonotonicTime now) const
    {
        return std::any_of(this->plan.faults.begin(), this->plan.faults.end(), [&](const FleetFault &fault) {
            return fault.kind == FleetFaultKind::ReportsLost && now >= start + fault.at && now < start + fault.at + fault.lasts;
        });
    }

    void begin(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        const std::uint64_t life = instance.life + 1;
        const std::string address = instance.address;
        const int domain = instance.domain;
        instance = Instance();
        instance.address = address;
        instance.domain = domain;
        instance.life = life;
        instance.heard.resize(this->instances.size());
        instance.nextReport = now + this->drawTime(0ms, 300ms);
        if (this->hasEndpoint) {
            instance.entries.push_back({now + 100ms, this->latest});
        }
    }

    /// Gives the endpoint as many requests as the others have, so that it does not look idle at the start.
    void loadEndpoint()
    {
        const double running = this->plan.demand / endpoints * std::chrono::duration<double>(runTime).count();
        for (int n = 0; n < static_cast<int>(running); ++n) {
            const auto instance = static_cast<int>(this->random() % this->instances.size());
            ++this->at(instance).running;
            this->runningRequests.push_back({start - this->drawTime(0ms, runTime), instance, this->at(instance).life});
        }
    }

    void write(const ColdEntry &entry, MonotonicTime now)
    {
        this->hasEndpoint = true;
        this->latest = entry;
        for (int i = 0; i < this->plan.instances; ++i) {
            Instance &instance = this->at(i);
            MonotonicTime due = now + this->drawTime(50ms, 1200ms);
            // A cut link to the store delays entries by the time until a hub is asked instead; without peers they come with the link.
            if (this->has(FleetFaultKind::StoreCut, i, now)) {
                due += 1500ms;
            }
            if (!instance.entries.empty()) {
                due = std::max(due, instance.entries.back().due);
            }
            instance.entries.push_back({due, entry});
        }
    }

    void advanceEndpoint(MonotonicTime now)
    {
        if (this->plan.turn == ColdTurn::Crash && now == start + this->plan.turnAt) {
            this->isDown = true;
            for (const Arrival &running : this->runningRequests) {
                this->fail(running, now);
            }
            this->runningRequests.clear();
        }
        std::erase_if(this->runningRequests, [&](const Arrival &request) {
            Instance &instance = this->at(request.instance);
            const bool isOwn = instance.life == request.life;
            if (isOwn) {
                instance.lastOutput = now;
            }
            if (now < request.at + runTime) {
                return false;
            }
            if (isOwn) {
                instance.running = std::max(0, instance.running - 1);
            }
            return true;
        });
        if (now == this->coldFrom) {
            this->isDown = false;
            const bool isRestarted = this->plan.turn == ColdTurn::Crash;
            this->latest.incarnation += isRestarted ? 1 : 0;
        }
        if (now >= this->coldFrom && (now - this->coldFrom) % renewalInterval == Duration::zero() && now <= this->coldEnd) {
            this->write({this->latest.incarnation, this->latest.sequence + 1, this->coldEnd - now}, now);
        }
    }

    void advanceFaults(MonotonicTime now)
    {
        for (int i = 0; i < this->plan.instances; ++i) {
            const bool isKilled = this->has(FleetFaultKind::Killed, i, now);
            if (this->at(i).isRunning && isKilled) {
                this->at(i).isRunning = false;
            } else if (!this->at(i).isRunning && !isKilled) {
                this->begin(i, now);
            }
        }
    }

    void exchangeDomains(MonotonicTime now)
    {
        for (int to = 0; to < this->plan.domains; ++to) {
            for (int from = 0; from < this->plan.domains; ++from) {
                if (this->isDomainCut(to, now) || this->isDomainCut(from, now)) {
                    continue;
                }
                auto &target = this->heardByDomain[static_cast<std::size_t>(to)];
                const auto &source = this->heardByDomain[static_cast<std::size_t>(from)];
                for (std::size_t i = 0; i < target.size(); ++i) {
                    target[i] = std::max(target[i], source[i]);
                }
            }
        }
    }

    void report(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        const Duration interval = std::min<Duration>(300ms + 4ms * (this->plan.instances / this->plan.domains), 1200ms);
        instance.nextReport = now + interval;
        const double lossNow = this->areReportsLost(now) ? manyReportLoss : reportLoss;
        if (this->draw() < lossNow || this->has(FleetFaultKind::PeersCut, i, now) || this->has(FleetFaultKind::Isolated, i, now)) {
            return;
        }
        this->board[static_cast<std::size_t>(i)] = {now, instance.running, this->failures(instance, now), instance.lastOutput};
        auto &heard = this->heardByDomain[static_cast<std::size_t>(instance.domain)];
        heard[static_cast<std::size_t>(i)] = now;
        Summary summary;
        summary.due = now + this->drawTime(50ms, 600ms);
        summary.heard = heard;
        const bool isCut = this->isDomainCut(instance.domain, now);
        for (int other = 0; other < this->plan.instances; ++other) {
            const Report &known = this->board[static_cast<std::size_t>(other)];
            const bool isReached = this->at(other).domain == instance.domain || (!isCut && !this->isDomainCut(this->at(other).domain, now));
            if (other == i || now - known.at > membershipTimeout || !isReached) {
                continue;
            }
            ++summary.covered;
            summary.running += known.running;
            summary.failures += known.failures * std::exp(-std::chrono::duration<double>(now - known.at) / 4s);
            summary.lastOutput = std::max(summary.lastOutput, known.lastOutput);
        }
        instance.summaries.push_back(std::move(summary));
    }

    double failures(const Instance &instance, MonotonicTime now) const
    {
        return instance.failures * std::exp(-std::chrono::duration<double>(now - instance.failedAt) / 4s);
    }

    void fail(const Arrival &request, MonotonicTime now)
    {
        Instance &instance = this->at(request.instance);
        if (instance.life != request.life || !instance.isRunning) {
            return;
        }
        instance.running = std::max(0, instance.running - 1);
        instance.failures = this->failures(instance, now) + 1;
        instance.failedAt = now;
        const ColdState *known = instance.starts.find(endpoint);
        if (known) {
            instance.starts.recordFailure(endpoint, known->entry.incarnation, now);
        }
    }

    void receive(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        while (!instance.summaries.empty() && instance.summaries.front().due <= now) {
            instance.summary = std::move(instance.summaries.front());
            instance.summaries.erase(instance.summaries.begin());
            instance.summaryAt = now;
            for (std::size_t other = 0; other < instance.heard.size(); ++other) {
                instance.heard[other] = std::max(instance.heard[other], instance.summary.heard[other]);
            }
        }
        while (!instance.entries.empty() && instance.entries.front().due <= now && !this->has(FleetFaultKind::Isolated, i, now)) {
            instance.starts.recordEntry(endpoint, instance.entries.front().entry, now);
            instance.entries.erase(instance.entries.begin());
            instance.knowsEndpoint = this->hasEndpoint;
        }
    }

    void runTick(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        if (instance.starts.isFleetUpdateDue(now)) {
            FleetContacts contacts;
            contacts.own = instance.address;
            for (std::size_t other = 0; other < instance.heard.size(); ++other) {
                if (instance.heard[other] != MonotonicTime() && now - instance.heard[other] <= membershipTimeout) {
                    contacts.live.push_back(this->instances[other].address);
                }
            }
            for (int seed = 0; seed < std::min(seedInstances, this->plan.instances); ++seed) {
                contacts.seeds.push_back(this->at(seed).address);
            }
            instance.live = static_cast<int>(contacts.live.size());
            instance.liveRank = static_cast<int>(std::count_if(contacts.live.begin(), contacts.live.end(), [&](const std::string &other) {
                return rendezvousScore(endpoint, other) > rendezvousScore(endpoint, instance.address);
            }));
            instance.starts.updateFleet(contacts, now);
            readHealth(instance, now);
        }
    }

    static void readHealth(Instance &instance, MonotonicTime now)
    {
        const bool isFresh = now - instance.summaryAt <= maxSummaryAge;
        const MonotonicTime newest = std::max(instance.lastOutput, instance.summary.lastOutput);
        if (newest != MonotonicTime()) {
            const int running = instance.running + (isFresh ? instance.summary.running : 0);
            instance.starts.recordReportedFailures(endpoint, isFresh ? instance.summary.failures : 0, running, now - newest, now);
            instance.starts.recordOutput(endpoint, newest);
        }
    }

    /// Probability that a request goes to the endpoint: all do while it looks idle, as many as to any other while it looks loaded, or while the
    /// instance knows nothing of the others' load.
    double preference(const Instance &instance, MonotonicTime now) const
    {
        if (this->plan.getsAllRequests && instance.starts.phase(endpoint, this->plan.rule, now) != ColdPhase::Warm) {
            return 1;
        }
        if (now - instance.summaryAt > maxSummaryAge) {
            return 1 / endpoints;
        }
        const int believed = instance.summary.running + instance.running;
        // With the reports of a few instances alone, every endpoint looks idle.
        const double typical =
            this->plan.demand / endpoints * std::chrono::duration<double>(runTime).count() * (instance.summary.covered + 1) / this->plan.instances;
        constexpr double minTypical = 5;
        constexpr double nearlyIdle = 0.3;
        return believed > 1 || typical < minTypical ? 1 / endpoints : believed == 0 ? 1 : nearlyIdle;
    }

    bool maySend(const Instance &instance, MonotonicTime now) const
    {
        if (!instance.knowsEndpoint) {
            return false;
        }
        if (this->plan.discipline == ColdDiscipline::None) {
            return true;
        }
        if (this->plan.discipline == ColdDiscipline::Shares) {
            return instance.starts.timeToRequest(endpoint, this->plan.rule, now) == Duration::zero();
        }
        if (instance.starts.phase(endpoint, this->plan.rule, now) == ColdPhase::Warm) {
            return true;
        }
        const bool hasLiveRank = this->plan.discipline == ColdDiscipline::LiveRanks;
        const int allowance = hasLiveRank ? instanceAllowance(coldAllowance(this->plan.rule), instance.liveRank, instance.live) : 1;
        const auto &sent = instance.starts.find(endpoint)->sent;
        return std::count_if(sent.begin(), sent.end(), [now](MonotonicTime time) { return now - time < coldWindow; }) < allowance;
    }

    void request(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        readHealth(instance, now);
        if (this->draw() >= this->preference(instance, now) || !this->maySend(instance, now)) {
            return;
        }
        instance.starts.recordRequest(endpoint, now);
        ++instance.running;
        constexpr double slowLink = 0.05;
        const Duration transit = this->draw() < slowLink ? this->drawTime(20ms, 250ms) : this->drawTime(0ms, 20ms);
        this->inTransit.push_back({now + transit, i, instance.life});
    }

    void advance(int i, MonotonicTime now)
    {
        Instance &instance = this->at(i);
        if (!instance.isRunning) {
            return;
        }
        instance.queued += this->plan.demand / this->plan.instances * std::chrono::duration<double>(step).count();
        if (this->has(FleetFaultKind::Frozen, i, now)) {
            return;
        }
        // What arrived while an instance was frozen is served before it reads the messages of that time.
        const int requests = std::poisson_distribution<int>(instance.queued)(this->random);
        instance.queued = 0;
        for (int n = 0; n < requests; ++n) {
            this->request(i, now);
        }
        this->receive(i, now);
        if (now >= instance.nextReport) {
            this->report(i, now);
        }
        if ((now - start + i % 10 * step) % tick == Duration::zero()) {
            this->runTick(i, now);
        }
    }

    void deliver(MonotonicTime now)
    {
        std::erase_if(this->inTransit, [&](const Arrival &arrival) {
            if (arrival.at > now) {
                return false;
            }
            if (this->isDown) {
                this->fail(arrival, now);
            } else {
                this->arrivals.push_back(arrival.at);
                this->runningRequests.push_back(arrival);
            }
            return true;
        });
    }

    int most(Duration window, MonotonicTime from, MonotonicTime to)
    {
        std::sort(this->arrivals.begin(), this->arrivals.end());
        std::size_t result = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->arrivals.size(); ++last) {
            if (this->arrivals[last] < from || this->arrivals[last] >= to) {
                continue;
            }
            while (this->arrivals[first] < from || this->arrivals[last] - this->arrivals[first] >= window) {
                ++first;
            }
            result = std::max(result, last - first + 1);
        }
        return static_cast<int>(result);
    }

    const FleetPlan &plan;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<Report> board;
    std::vector<std::vector<MonotonicTime>> heardByDomain;
    std::vector<Arrival> inTransit;
    std::vector<Arrival> runningRequests;
    std::vector<MonotonicTime> arrivals;
    ColdEntry latest;
    bool hasEndpoint = true;
    bool isDown = false;
    MonotonicTime coldFrom;
    MonotonicTime coldEnd;
};
} // namespace

FleetResult playColdFleet(const FleetPlan &plan)
{
    return Play(plan).run();
}

} // namespace Godwitfork
