#include "QueuePool.h"

#include "LibGateway/PeerReportAggregator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <numeric>
#include <queue>

namespace Godwitfork
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration length = 60s;
/// Requests before this time are not counted, while estimates have no evidence.
constexpr Duration warmUp = 15s;
/// Time at which the endpoints of a pool with changing speed change it.
constexpr Duration changeTime = 35s;
constexpr Duration objective = 1s;
/// Load over the pool's capacity: mean, and amplitude and period of its wave.
constexpr double meanUtilisation = 0.72;
constexpr double waveAmplitude = 0.3;
constexpr Duration wavePeriod = 17s;
constexpr double tokensPerMillisecond = 61.2;
constexpr Duration stepTime = 25ms;
constexpr Duration outputTime = 500ms;
/// Relative times of a third of the endpoints, and of the others.
constexpr double slowTime = 1.7;
constexpr double fastTime = 0.7;
/// Concurrency above which a third of the endpoints of a pool with an early knee slows down in proportion.
constexpr double earlyKnee = 4;
/// Endpoints that Prequal's rule probes for one request, and the quantile of their load above which they count as hot.
constexpr int probes = 3;
constexpr double hotQuantile = 0.84;

struct Request {
    std::size_t instance = 0;
    std::size_t endpoint = 0;
    MonotonicTime arrival;
    Duration firstOutput = Duration::zero();
    ChoiceQuery query;
    EndpointChoice choice;
    LoadTicket ticket;
};

struct Endpoint {
    EndpointEntry entry;
    MonotonicTime freeAt;
    int running = 0;
    /// Moving average of the times of its requests, which it tells in answers to probes.
    double recentTime = 0.05;
    std::vector<int> requestsBySecond;
};

enum class EventKind { Arrival, FirstOutput, End, Report };

struct Event {
    MonotonicTime time;
    EventKind kind = EventKind::Arrival;
    std::size_t index = 0;

    auto operator<=>(const Event &) const = default;
};

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

class Pool
{
public:
    Pool(PoolKind kind, int instances, ChoiceRule rule, std::uint64_t seed);
    PoolResult run();

private:
    double relativeTime(std::size_t endpoint, MonotonicTime now) const;
    bool hasEarlyKnee(std::size_t endpoint) const;
    /// Time of a prompt at an endpoint, if nothing is ahead of it.
    Duration serviceTime(std::size_t endpoint, std::int64_t tokens, MonotonicTime now) const;
    std::int64_t drawTokens();
    double arrivalRate(MonotonicTime now) const;
    std::size_t choose(Request &request, MonotonicTime now);
    std::size_t probe();
    std::size_t leastOutstanding(const std::vector<std::size_t> &candidates, std::size_t instance);
    void arrive(MonotonicTime now);
    void report(std::size_t instance, MonotonicTime now);
    PoolResult result() const;

    PoolKind kind;
    ChoiceRule rule;
    RandomSource random;
    std::vector<Endpoint> endpoints;
    std::vector<const EndpointEntry *> candidates;
    std::vector<std::size_t> indices;
    std::vector<EndpointChooser> choosers;
    std::vector<std::size_t> nextEndpoint;
    std::vector<int> probedLoads;
    std::vector<EndpointUsageMap> usages;
    std::vector<ServiceStatisticsMap> statistics;
    EndpointUsageMap totalUsage;
    ServiceStatisticsMap totalStatistics;
    MonotonicTime totalledAt;
    Duration reportInterval;
    std::vector<Request> requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    MonotonicTime start {1000s};
};

Pool::Pool(PoolKind kind, int instances, ChoiceRule rule, std::uint64_t seed)
    : kind(kind)
    , rule(rule)
    , random(seed)
    , usages(static_cast<std::size_t>(instances))
    , statistics(static_cast<std::size_t>(instances))
    , reportInterval(300ms + 1ms * instances)
{
    const int count = instances < 76 ? instances * 2 : instances * 4 / 5;
    for (int i = 0; i < count; ++i) {
        EndpointEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.service = "pool";
        entry.failureDomain = "a";
        entry.slots = 64;
        this->endpoints.push_back({entry, this->start, 0, 0.05, std::vector<int>(static_cast<std::size_t>(length / 1s) + 1)});
    }
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
        this->candidates.push_back(&this->endpoints[i].entry);
        this->indices.push_back(i);
    }
    for (int i = 0; i < instances; ++i) {
        this->choosers.emplace_back("a");
        this->choosers.back().loads().setLearnsCapacity(rule == ChoiceRule::Learned);
        this->nextEndpoint.push_back(this->random() % this->endpoints.size());
        this->events.push({this->start + this->reportInterval * i / instances, EventKind::Report, static_cast<std::size_t>(i)});
    }
}

double Pool::relativeTime(std::size_t endpoint, MonotonicTime now) const
{
    if (this->kind != PoolKind::TwoSpeeds && this->kind != PoolKind::ChangingSpeed) {
        return 1;
    }
    const bool hasChanged = this->kind == PoolKind::ChangingSpeed && now - this->start >= changeTime;
    return (endpoint + (hasChanged ? 1 : 0)) % 3 == 0 ? slowTime : fastTime;
}

bool Pool::hasEarlyKnee(std::size_t endpoint) const
{
    return this->kind == PoolKind::EarlyKnee && endpoint % 3 == 0;
}

Duration Pool::serviceTime(std::size_t endpoint, std::int64_t tokens, MonotonicTime now) const
{
    const double knee = this->hasEarlyKnee(endpoint) ? std::max(1.0, this->endpoints[endpoint].running / earlyKnee) : 1;
    return fromSeconds((toSeconds(stepTime) + static_cast<double>(tokens) / tokensPerMillisecond / 1000) * this->relativeTime(endpoint, now) * knee);
}

std::int64_t Pool::drawTokens()
{
    if (this->kind == PoolKind::HeavyTail) {
        // Pareto with exponent 1.5 and mean 3000, cut at a hundred times its least value.
        const double draw = std::uniform_real_distribution<double>(0.001, 1)(this->random);
        return static_cast<std::int64_t>(1000 * std::pow(draw, -1 / 1.5));
    }
    constexpr std::int64_t sizes[] = {1200, 2900, 4900};
    return sizes[this->random() % 3];
}

double Pool::arrivalRate(MonotonicTime now) const
{
    double capacity = 0;
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
        // An endpoint with an early knee handles no more than the requests whose outputs keep it at the knee.
        const double rate = 1 / toSeconds(this->serviceTime(i, 3000, this->start));
        capacity += this->hasEarlyKnee(i) ? std::min(rate, earlyKnee / toSeconds(outputTime)) : rate;
    }
    const double phase = 2 * std::numbers::pi * toSeconds(now - this->start) / toSeconds(wavePeriod);
    return capacity * meanUtilisation * (1 + waveAmplitude * std::sin(phase));
}

std::size_t Pool::leastOutstanding(const std::vector<std::size_t> &among, std::size_t instance)
{
    std::size_t best = among.front();
    int least = std::numeric_limits<int>::max();
    const std::size_t first = this->random() % among.size();
    for (std::size_t i = 0; i < among.size(); ++i) {
        const std::size_t endpoint = among[(first + i) % among.size()];
        const int running = this->choosers[instance].loads().find(this->endpoints[endpoint].entry.id).concurrentRequests();
        if (running < least) {
            least = running;
            best = endpoint;
        }
    }
    return best;
}

// Of the endpoints that a probe does not call hot the one with the lowest recent time, else the one with the fewest requests. Probes are fresher here than
// any that instances could make.
std::size_t Pool::probe()
{
    std::vector<std::size_t> probed;
    for (int i = 0; i < probes; ++i) {
        probed.push_back(this->random() % this->endpoints.size());
        this->probedLoads.push_back(this->endpoints[probed.back()].running);
    }
    const std::size_t window = std::min<std::size_t>(this->probedLoads.size(), 300);
    std::vector<int> recent(this->probedLoads.end() - static_cast<std::ptrdiff_t>(window), this->probedLoads.end());
    const auto quantile = recent.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(recent.size() - 1) * hotQuantile);
    std::nth_element(recent.begin(), quantile, recent.end());
    const int hot = *quantile;
    return *std::min_element(probed.begin(), probed.end(), [&](std::size_t left, std::size_t right) {
        const Endpoint &a = this->endpoints[left];
        const Endpoint &b = this->endpoints[right];
        if ((a.running > hot) != (b.running > hot)) {
            return a.running <= hot;
        }
        return a.running > hot ? a.running < b.running : a.recentTime < b.recentTime;
    });
}

std::size_t Pool::choose(Request &request, MonotonicTime now)
{
    const std::size_t count = this->endpoints.size();
    EndpointChooser &chooser = this->choosers[request.instance];
    switch (this->rule) {
    case ChoiceRule::RoundRobin:
        return this->nextEndpoint[request.instance]++ % count;
    case ChoiceRule::LeastOutstanding:
        return this->leastOutstanding(this->indices, request.instance);
    case ChoiceRule::TwoChoices:
        return this->leastOutstanding({this->random() % count, this->random() % count}, request.instance);
    case ChoiceRule::FixedWeights: {
        std::vector<double> weights;
        for (const std::size_t i : this->indices) {
            weights.push_back(1 / this->relativeTime(i, this->start));
        }
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
    }
    case ChoiceRule::Prequal:
        return this->probe();
    case ChoiceRule::Oracle:
        return *std::min_element(this->indices.begin(), this->indices.end(), [&](std::size_t left, std::size_t right) {
            const auto done = [&](std::size_t i) { return std::max(now, this->endpoints[i].freeAt) + this->serviceTime(i, request.query.promptTokens, now); };
            return done(left) < done(right);
        });
    case ChoiceRule::Before:
    case ChoiceRule::Learned:
        break;
    }
    return static_cast<std::size_t>(std::stoi(chooser.choose(this->candidates, request.query, now, this->random)->endpoint.id.substr(1)));
}

void Pool::arrive(MonotonicTime now)
{
    Request request;
    request.instance = this->random() % this->choosers.size();
    request.arrival = now;
    request.query.service = "pool";
    request.query.model = "m";
    request.query.promptTokens = this->drawTokens();
    request.endpoint = this->choose(request, now);
    Endpoint &endpoint = this->endpoints[request.endpoint];
    EndpointChooser &chooser = this->choosers[request.instance];
    request.choice = *chooser.choose({&endpoint.entry}, request.query, now, this->random);
    request.ticket = chooser.begin(request.query, request.choice);
    ++endpoint.requestsBySecond[static_cast<std::size_t>((now - this->start) / 1s)];
    ++endpoint.running;
    endpoint.freeAt = std::max(now, endpoint.freeAt) + this->serviceTime(request.endpoint, request.query.promptTokens, now);
    request.firstOutput = endpoint.freeAt - now;
    this->events.push({endpoint.freeAt, EventKind::FirstOutput, this->requests.size()});
    this->events.push(
        {endpoint.freeAt + fromSeconds(toSeconds(outputTime) * this->relativeTime(request.endpoint, now)), EventKind::End, this->requests.size()});
    this->requests.push_back(std::move(request));
}

void Pool::report(std::size_t instance, MonotonicTime now)
{
    EndpointLoads &loads = this->choosers[instance].loads();
    // What a summary holds is older than the report that it answers: hubs exchange their sums at intervals.
    loads.setPeerUsage(withoutOwn(this->totalUsage, this->usages[instance]), withoutOwn(this->totalStatistics, this->statistics[instance]), now);
    this->usages[instance] = loads.ownUsage(now);
    this->statistics[instance] = loads.ownStatistics(now);
    if (now - this->totalledAt >= this->reportInterval) {
        this->totalledAt = now;
        this->totalUsage.clear();
        this->totalStatistics.clear();
        for (std::size_t i = 0; i < this->usages.size(); ++i) {
            for (const auto &[key, usage] : this->usages[i]) {
                this->totalUsage[key] += usage;
            }
            for (const auto &[service, sums] : this->statistics[i]) {
                this->totalStatistics[service] += sums;
            }
        }
    }
    this->events.push({now + this->reportInterval, EventKind::Report, instance});
}

PoolResult Pool::run()
{
    const MonotonicTime end = this->start + length;
    this->events.push({this->start, EventKind::Arrival, 0});
    while (!this->events.empty() && this->events.top().time < end) {
        const Event event = this->events.top();
        this->events.pop();
        const MonotonicTime now = event.time;
        if (event.kind == EventKind::Arrival) {
            this->arrive(now);
            this->events.push({now + fromSeconds(std::exponential_distribution<double>(this->arrivalRate(now))(this->random)), EventKind::Arrival, 0});
        } else if (event.kind == EventKind::Report) {
            this->report(event.index, now);
        } else {
            Request &request = this->requests[event.index];
            EndpointChooser &chooser = this->choosers[request.instance];
            Endpoint &endpoint = this->endpoints[request.endpoint];
            if (event.kind == EventKind::FirstOutput) {
                chooser.recordFirstOutput(request.ticket, request.query, request.choice, request.arrival, now);
                endpoint.recentTime += 0.2 * (toSeconds(request.firstOutput) - endpoint.recentTime);
            } else {
                chooser.end(request.ticket, EndpointResult::Success, now);
                --endpoint.running;
            }
        }
    }
    return this->result();
}

PoolResult Pool::result() const
{
    std::vector<double> times;
    for (const Request &request : this->requests) {
        if (request.arrival - this->start >= warmUp) {
            times.push_back(toSeconds(request.firstOutput));
        }
    }
    std::sort(times.begin(), times.end());
    PoolResult result;
    result.median = times[times.size() / 2] * 1000;
    result.p99 = times[times.size() * 99 / 100] * 1000;
    result.goodput =
        static_cast<double>(std::upper_bound(times.begin(), times.end(), toSeconds(objective)) - times.begin()) / static_cast<double>(times.size());
    const MonotonicTime end = this->start + length;
    std::vector<double> errors;
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
        const std::vector<int> &counts = this->endpoints[i].requestsBySecond;
        const auto first = counts.begin() + warmUp / 1s;
        const auto last = counts.begin() + length / 1s;
        const double mean = std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
        const double squares = std::accumulate(first, last, 0.0, [&](double sum, int count) { return sum + (count - mean) * (count - mean); });
        result.oscillation += std::sqrt(squares / static_cast<double>(last - first)) / std::max(mean, 1e-9) / static_cast<double>(this->endpoints.size());
        const EndpointLoads &loads = this->choosers.front().loads();
        errors.push_back(std::log(loads.relativeTime(loads.find(this->endpoints[i].entry.id), end) / this->relativeTime(i, end)));
    }
    // The estimates have a common factor, which changes no choice.
    const double common = std::accumulate(errors.begin(), errors.end(), 0.0) / static_cast<double>(errors.size());
    for (const double error : errors) {
        result.estimateError += std::abs(error - common) / static_cast<double>(errors.size());
    }
    return result;
}
} // namespace

const char *poolKindName(PoolKind kind)
{
    constexpr const char *names[] = {"equal", "two speeds", "heavy tail", "early knee", "changing speed"};
    return names[static_cast<int>(kind)];
}

const char *choiceRuleName(ChoiceRule rule)
{
    constexpr const char *names[] = {
        "round robin", "least outstanding", "two choices", "fixed weights", "Prequal's rule", "before", "learned capacity", "oracle"};
    return names[static_cast<int>(rule)];
}

PoolResult runPool(PoolKind kind, int instances, ChoiceRule rule, std::uint64_t seed)
{
    return Pool(kind, instances, rule, seed).run();
}

} // namespace Godwitfork
