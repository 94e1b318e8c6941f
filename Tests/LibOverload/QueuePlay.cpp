#include "QueuePlay.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>

namespace Godwitfork
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration step = 5ms;
constexpr Duration length = 30s;
constexpr Duration reportInterval = 500ms;
constexpr Duration peakStart = 8s;
constexpr Duration lossEnd = 14s;
constexpr int accounts = 4;
constexpr int sessions = 25;
constexpr int largeTenth = 10;
/// Factor by which a slow engine is slower than the others.
constexpr double slowFactor = 2.4;
const MonotonicTime begin {1000s};

struct Call {
    const PlayedKind *kind = nullptr;
    int account = 0;
    int session = 0;
    bool isLarge = false;
    std::int64_t tokens = 0;
    MonotonicTime sent;
    MonotonicTime deadline;
    /// Time of the caller's next attempt.
    MonotonicTime nextAttempt;
    int instance = 0;
    LoadTicket ticket;
    ChoiceQuery query;
    EndpointChoice choice;
    MonotonicTime started;
    Duration workLeft = Duration::zero();
    std::optional<MonotonicTime> firstOutput;
    MonotonicTime endsAt;
    /// Whether the instance has counted the call as demand.
    bool isKnown = false;
};

struct Engine {
    bool isLost = false;
    double slowness = 1;
    /// Calls whose prompt is read or waits to be read, in the order of arrival.
    std::deque<std::shared_ptr<Call>> queue;
    std::vector<std::shared_ptr<Call>> writing;
};

struct Instance {
    Instance() : chooser("a")
    {
    }

    EndpointChooser chooser;
    OverloadControl control;
    EndpointUsageMap reported;
    ServiceStatisticsMap reportedStatistics;
};

class Player
{
public:
    Player(const PlayScenario &scenario, std::uint64_t seed)
        : scenario(scenario), random(seed), arrivals(seed + 1000), engines(scenario.engines), instances(scenario.instances)
    {
        for (int i = 0; i < scenario.engines; ++i) {
            EndpointEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "pool";
            entry.failureDomain = "a";
            entry.slots = enginePlaces;
            this->entries.push_back(entry);
            this->engines[i].slowness = i < scenario.slowEngines ? slowFactor : 1;
        }
    }

    PlayOutcome run()
    {
        MonotonicTime nextReport = begin;
        for (MonotonicTime now = begin; now < begin + length + 20s; now += step) {
            if (now >= nextReport) {
                nextReport = now + reportInterval;
                this->exchangeReports(now);
            }
            this->loseEngines(now);
            if (now < begin + length) {
                this->addCalls(now);
            }
            this->sendCalls(now);
            for (std::size_t i = 0; i < this->engines.size(); ++i) {
                this->advance(i, now);
            }
        }
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < accounts; ++i) {
            const double share = this->servedWork[i] / this->usualWork;
            sum += share;
            squares += share * share;
        }
        this->outcome.jain = squares > 0 ? sum * sum / (accounts * squares) : 0;
        return this->outcome;
    }

private:
    std::vector<const EndpointEntry *> available() const
    {
        std::vector<const EndpointEntry *> result;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            if (!this->engines[i].isLost) {
                result.push_back(&this->entries[i]);
            }
        }
        return result;
    }

    void exchangeReports(MonotonicTime now)
    {
        EndpointUsageMap total;
        ServiceStatisticsMap statistics;
        for (const Instance &instance : this->instances) {
            for (const auto &[key, usage] : instance.reported) {
                total[key] += usage;
            }
            for (const auto &[service, entry] : instance.reportedStatistics) {
                statistics[service] += entry;
            }
        }
        // The sums are those of the last interval, as in a fleet with hubs.
        for (Instance &instance : this->instances) {
            instance.chooser.loads().setPeerUsage(withoutOwn(total, instance.reported), withoutOwn(statistics, instance.reportedStatistics), now);
            instance.reportedStatistics = instance.chooser.loads().ownStatistics(now);
            instance.reported = instance.chooser.loads().ownUsage(now);
        }
    }

    void loseEngines(MonotonicTime now)
    {
        for (int i = 0; i < this->scenario.lostEngines; ++i) {
            Engine &engine = this->engines[i];
            const bool isLost = now >= begin + peakStart && now < begin + lossEnd;
            if (isLost && !engine.isLost) {
                this->crash(i, now);
            }
            engine.isLost = isLost;
        }
    }

    void crash(std::size_t index, MonotonicTime now)
    {
        Engine &engine = this->engines[index];
        for (const auto *list : {&engine.queue}) {
            for (const auto &call : *list) {
                this->finish(*call, now, EndpointResult::Failure);
            }
        }
        for (const auto &call : engine.writing) {
            this->finish(*call, now, EndpointResult::Failure);
        }
        this->outcome.requestsLostInCrashes += static_cast<int>(engine.queue.size() + engine.writing.size());
        engine.queue.clear();
        engine.writing.clear();
    }

    void addCalls(MonotonicTime now)
    {
        const double seconds = std::chrono::duration<double>(now - begin).count();
        const double wave = 1 + this->scenario.waveAmplitude * std::sin(2 * M_PI * seconds / std::chrono::duration<double>(this->scenario.wavePeriod).count());
        double meanWork = 0;
        for (const PlayedKind &kind : this->scenario.kinds) {
            meanWork += static_cast<double>(kind.tokens) / engineTokensPerMillisecond / 1000 / static_cast<double>(this->scenario.kinds.size());
        }
        double capacity = 0;
        for (const Engine &engine : this->engines) {
            capacity += 1 / engine.slowness;
        }
        const double rate = this->scenario.utilisation * capacity / meanWork / static_cast<double>(this->scenario.kinds.size() * accounts);
        this->usualWork = rate * meanWork * static_cast<double>(this->scenario.kinds.size()) * std::chrono::duration<double>(length).count();
        for (std::size_t k = 0; k < this->scenario.kinds.size(); ++k) {
            const bool isBurst =
                static_cast<int>(k) == this->scenario.burstKind && now >= begin + peakStart && now < begin + peakStart + this->scenario.burstLength;
            for (int account = 0; account < accounts; ++account) {
                const double hot = account == 0 && now >= begin + peakStart ? this->scenario.hotFactor : 1;
                std::poisson_distribution<int> count(rate * wave * (isBurst ? this->scenario.burstFactor : 1) * hot
                                                     * std::chrono::duration<double>(step).count());
                for (int i = count(this->arrivals); i > 0; --i) {
                    this->addCall(this->scenario.kinds[k], account, now);
                }
            }
        }
    }

    void addCall(const PlayedKind &kind, int account, MonotonicTime now)
    {
        auto call = std::make_shared<Call>();
        call->kind = &kind;
        call->account = account;
        call->session = static_cast<int>(this->arrivals() % sessions);
        call->isLarge = this->arrivals() % largeTenth == 0;
        call->tokens = call->isLarge ? kind.tokens * 2 : kind.tokens * 8 / 9;
        call->sent = now;
        call->deadline = now + kind.limit;
        call->nextAttempt = now;
        call->instance = static_cast<int>(this->arrivals() % this->instances.size());
        this->waiting.push_back(call);
    }

    void sendCalls(MonotonicTime now)
    {
        std::vector<std::shared_ptr<Call>> due;
        std::erase_if(this->waiting, [&](const auto &call) {
            if (call->nextAttempt <= now) {
                due.push_back(call);
            }
            return call->nextAttempt <= now;
        });
        for (const auto &call : due) {
            this->send(call, now);
        }
    }

    void send(const std::shared_ptr<Call> &call, MonotonicTime now)
    {
        if (this->hasLeft(*call, now)) {
            this->count(*call, &PlayCounts::failed);
            return;
        }
        Instance &instance = this->instances[call->instance];
        call->query = {};
        call->query.service = "pool";
        call->query.model = "large";
        call->query.promptTokens = call->tokens;
        call->query.memoryTokens = engineMemory;
        const std::vector<const EndpointEntry *> endpoints = this->available();
        std::vector<const EndpointEntry *> sample;
        std::sample(endpoints.begin(), endpoints.end(), std::back_inserter(sample), this->scenario.sampledEngines, this->random);
        const auto choice = instance.chooser.choose(sample, call->query, now, this->random);
        if (!choice) {
            this->count(*call, &PlayCounts::failed);
            return;
        }
        call->choice = *choice;
        if (this->scenario.hasAdmission) {
            AdmissionRequest request;
            request.service = "pool";
            request.kind = call->kind->name;
            request.priority = call->kind->priority;
            request.objective = call->kind->objective;
            request.untilObjective = call->sent + call->kind->objective - now;
            request.remaining = call->deadline - now;
            request.work = choice->promptTime;
            request.nominalFirstOutput = choice->nominalFirstOutput;
            request.firstOutput = choice->firstOutput;
            request.observedWait = instance.chooser.loads().meanPromptWait("pool", now);
            request.outputTime = instance.chooser.speeds().outputTime("pool", "large", call->kind->outputTokens);
            if (!call->isKnown) {
                instance.control.recordDemand(request, now);
                call->isKnown = true;
            }
            const AdmissionDecision decision = instance.control.decide(request, {endpoints, instance.chooser.loads()}, now);
            if (decision.outcome == AdmissionOutcome::Deferred) {
                call->nextAttempt = now + OverloadControl::recheckDelay(this->random);
                this->waiting.push_back(call);
                return;
            }
            if (isRefusal(decision.outcome)) {
                this->refuse(call, now);
                return;
            }
        }
        call->ticket = instance.chooser.begin(call->query, call->choice);
        call->started = now;
        Engine &engine = this->engines[std::stoul(choice->endpoint.id.substr(1))];
        call->workLeft = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(call->tokens) / engineTokensPerMillisecond * engine.slowness));
        engine.queue.push_back(call);
    }

    void refuse(const std::shared_ptr<Call> &call, MonotonicTime now)
    {
        ++this->outcome.refusals;
        std::size_t taken = 0;
        std::size_t queued = 0;
        for (const Engine &engine : this->engines) {
            taken += engine.queue.size() + engine.writing.size();
            queued += engine.queue.empty() ? 0 : engine.queue.size() - 1;
        }
        if (queued == 0 && 2 * taken < this->available().size() * enginePlaces) {
            ++this->outcome.idleRefusals;
        }
        std::uniform_int_distribution<int> delay(200, 1200);
        Duration retryAfter = std::chrono::milliseconds(delay(this->random));
        if (this->scenario.habit == CallerHabit::RepeatAtOnce) {
            retryAfter = 50ms;
        } else if (retryAfter > (call->deadline - now) / 3) {
            this->count(*call, &PlayCounts::refused);
            return;
        }
        if (now + retryAfter >= call->deadline) {
            this->count(*call, &PlayCounts::refused);
            return;
        }
        call->nextAttempt = now + retryAfter;
        call->isKnown = false;
        call->instance = static_cast<int>(this->random() % this->instances.size());
        this->waiting.push_back(call);
    }

    bool hasLeft(const Call &call, MonotonicTime now) const
    {
        const bool isImpatient = this->scenario.habit == CallerHabit::GiveUp && !call.firstOutput && now > call.sent + call.kind->objective * 3 / 2;
        return now >= call.deadline || isImpatient;
    }

    void advance(std::size_t index, MonotonicTime now)
    {
        Engine &engine = this->engines[index];
        std::erase_if(engine.queue, [&](const auto &call) { return this->endIfLeft(*call, now); });
        std::erase_if(engine.writing, [&](const auto &call) {
            if (call->endsAt <= now) {
                this->finish(*call, now, EndpointResult::Success);
                return true;
            }
            return this->endIfLeft(*call, now);
        });
        Duration budget = step;
        while (budget > Duration::zero() && !engine.queue.empty()) {
            const auto call = engine.queue.front();
            const Duration part = std::min(budget, call->workLeft);
            call->workLeft -= part;
            budget -= part;
            if (call->workLeft > Duration::zero()) {
                break;
            }
            engine.queue.pop_front();
            call->firstOutput = now;
            call->endsAt = now + outputTokenTime * call->kind->outputTokens;
            Instance &instance = this->instances[call->instance];
            instance.chooser.recordFirstOutput(call->ticket, call->query, call->choice, call->started, now);
            engine.writing.push_back(call);
        }
        std::int64_t tokens = 0;
        const auto add = [&](const auto &call) { tokens += call->tokens + call->kind->outputTokens; };
        std::for_each(engine.queue.begin(), engine.queue.end(), add);
        std::for_each(engine.writing.begin(), engine.writing.end(), add);
        this->outcome.mostTokens = std::max(this->outcome.mostTokens, tokens);
    }

    bool endIfLeft(Call &call, MonotonicTime now)
    {
        if (this->hasLeft(call, now)) {
            this->finish(call, now, EndpointResult::Ended);
            return true;
        }
        return false;
    }

    void finish(Call &call, MonotonicTime now, EndpointResult result)
    {
        this->instances[call.instance].chooser.end(call.ticket, result, now);
        if (result != EndpointResult::Success) {
            this->count(call, &PlayCounts::failed);
            return;
        }
        this->instances[call.instance].chooser.speeds().recordOutput("pool", "large", call.kind->outputTokens, now - *call.firstOutput);
        if (*call.firstOutput <= call.sent + call.kind->objective) {
            this->count(call, &PlayCounts::onTime);
            this->servedWork[call.account] += static_cast<double>(call.tokens) / engineTokensPerMillisecond / 1000;
        } else {
            this->count(call, &PlayCounts::late);
        }
    }

    void count(const Call &call, int PlayCounts::*result)
    {
        const double value = result == &PlayCounts::onTime ? call.kind->value : result == &PlayCounts::late ? call.kind->lateValue : 0;
        const std::string &kind = call.kind->name;
        for (PlayCounts *counts : {&this->outcome.total,
                                   &this->outcome.byKind[kind],
                                   &this->outcome.byGroup["account " + std::to_string(call.account)],
                                   &this->outcome.byGroup["session " + std::to_string(call.session)],
                                   &this->outcome.byGroup[(call.isLarge ? "large " : "small ") + kind]}) {
            ++counts->all;
            ++(counts->*result);
            counts->value += value;
        }
    }

    const PlayScenario &scenario;
    RandomSource random;
    /// Draws of the arrivals alone, so that plays with and without admission get the same calls.
    RandomSource arrivals;
    std::vector<EndpointEntry> entries;
    std::vector<Engine> engines;
    std::vector<Instance> instances;
    std::vector<std::shared_ptr<Call>> waiting;
    double servedWork[accounts] = {};
    double usualWork = 1;
    PlayOutcome outcome;
};
} // namespace

std::vector<PlayedKind> planKinds()
{
    return {{"note", 0, 2s, 20s, 1110, 100, 0.93, 0.11}, {"draft", 1, 3s, 10s, 2900, 200, 3.1, 0.92}, {"plan", 2, 8s, 15s, 3700, 400, 1.8, 0.8}};
}

std::vector<PlayedKind> diagnosisKinds()
{
    return {
        {"summary", 0, 2s, 8s, 2900, 200, 2.8, 0.83}, {"diagnosis", 1, 2s, 12s, 3700, 300, 3.4, 1}, {"part lookup", 2, 1500ms, 15s, 1110, 100, 0.31, 0.094}};
}

PlayOutcome play(const PlayScenario &scenario, std::uint64_t seed)
{
    return Player(scenario, seed).run();
}

} // namespace Godwitfork
