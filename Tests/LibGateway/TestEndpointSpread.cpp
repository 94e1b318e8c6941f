#include "LibGateway/EndpointChooser.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

/// Endpoints e0, e1, ... in failure domain a, and a chooser of that domain that learns capacity.
struct Pool {
    explicit Pool(int count)
    {
        for (int i = 0; i < count; ++i) {
            EndpointEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "pool";
            entry.failureDomain = "a";
            entry.slots = 8;
            this->entries.push_back(entry);
        }
        for (const EndpointEntry &entry : this->entries) {
            this->pointers.push_back(&entry);
        }
        this->chooser.loads().setLearnsCapacity(true);
    }

    /// Number of `requests` choices that fall on each endpoint; none of them is sent.
    std::map<std::string, int> draw(const ChoiceQuery &query, int requests = 200)
    {
        std::map<std::string, int> drawn;
        for (int i = 0; i < requests; ++i) {
            ++drawn[this->chooser.choose(this->pointers, query, start, this->random)->endpoint.id];
        }
        return drawn;
    }

    std::vector<EndpointEntry> entries;
    std::vector<const EndpointEntry *> pointers;
    EndpointChooser chooser {"a"};
    RandomSource random {1};
};

ChoiceQuery shortPrompt()
{
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 1000;
    return query;
}

ChoiceQuery longPrompt()
{
    ChoiceQuery query = shortPrompt();
    query.promptTokens = 17000;
    query.parts = {{"shared", 13000}, {"own", 4000}};
    query.memoryTokens = 500000;
    return query;
}

/// Statistics of a service whose other instances send `perSecond` requests and see the expected times.
ServiceStatisticsMap peerRequests(double perSecond)
{
    return {{"pool", {{1000, 1000}, {0, perSecond * 2}, {}}}};
}

EndpointUsage queuedPrompts(Duration time)
{
    EndpointUsage usage;
    usage.pendingPromptTime = time;
    return usage;
}
} // namespace

TEST_CASE("Instances that last used engines of different speed report the same relative time", "[spread]")
{
    // The nominal speed of an instance is an average of its last ten prompts. It followed the engines that these were sent to, so that an instance that had
    // used slow ones reported all others as fast.
    std::vector<double> reported;
    for (const auto &[used, usedTime] : {std::pair(0, 1.7), std::pair(1, 0.7)}) {
        Pool pool(3);
        EndpointUsageMap usage;
        usage[endpointKey("e0")].relativeTimes = {1.7 * 200, 200};
        usage[endpointKey("e1")].relativeTimes = {0.7 * 200, 200};
        pool.chooser.loads().setPeerUsage(usage, peerRequests(1), start);
        ChoiceQuery query = shortPrompt();
        query.promptTokens = 10000;
        const auto send = [&](std::size_t endpoint, double relativeTime) {
            const auto choice = pool.chooser.choose({pool.pointers[endpoint]}, query, start, pool.random);
            LoadTicket ticket = pool.chooser.begin(query, *choice);
            const Duration elapsed = std::chrono::duration_cast<Duration>(188ms * relativeTime);
            pool.chooser.recordFirstOutput(ticket, query, *choice, start - elapsed, start);
            pool.chooser.end(ticket, EndpointResult::Success, start);
        };
        for (int i = 0; i < 20; ++i) {
            send(static_cast<std::size_t>(used), usedTime);
        }
        send(2, 1);
        const ObservationSum evidence = pool.chooser.loads().ownUsage(start).at(endpointKey("e2")).relativeTimes;
        reported.push_back(evidence.sum / evidence.weight);
    }
    CHECK(reported[0] == Approx(reported[1]).epsilon(0.05));
}

TEST_CASE("The endpoints of the own failure domain are used until their queues cost more than the traffic", "[spread]")
{
    Pool pool(4);
    pool.entries[2].failureDomain = "b";
    pool.entries[3].failureDomain = "b";
    const ChoiceQuery query = shortPrompt();
    // With equal queues, all requests stay.
    pool.chooser.loads().setPeerUsage({}, peerRequests(20), start);
    auto drawn = pool.draw(query);
    CHECK(drawn["e0"] + drawn["e1"] == 200);
    // With queues that the others have not, most leave. They would all stay if the level of the own domain were not compared, or with the wrong sign.
    pool.chooser.loads().setPeerUsage({{endpointKey("e0"), queuedPrompts(3s)}, {endpointKey("e1"), queuedPrompts(3s)}}, peerRequests(4), start);
    drawn = pool.draw(query);
    CHECK(drawn["e2"] + drawn["e3"] == 200);
    pool.chooser.loads().setPeerUsage({{endpointKey("e2"), queuedPrompts(3s)}, {endpointKey("e3"), queuedPrompts(3s)}}, peerRequests(4), start);
    drawn = pool.draw(query);
    CHECK(drawn["e0"] + drawn["e1"] == 200);
}

TEST_CASE("A long body is sent to another failure domain only for a large gain", "[spread]")
{
    // The traffic of 100 KB costs as much as 600 ms.
    Pool pool(2);
    pool.entries[1].failureDomain = "b";
    ChoiceQuery query = shortPrompt();
    pool.chooser.loads().setPeerUsage({{endpointKey("e0"), queuedPrompts(300ms)}}, {}, start);
    CHECK(pool.draw(query)["e1"] == 200);
    query.bodyBytes = 100 * 1024;
    CHECK(pool.draw(query)["e0"] == 200);
    pool.chooser.loads().setPeerUsage({{endpointKey("e0"), queuedPrompts(2s)}}, {}, start);
    CHECK(pool.draw(query)["e1"] == 200);
}

TEST_CASE("Requests follow a cached prompt and the home of its prefix unless the queue there costs more", "[spread]")
{
    Pool pool(6);
    const ChoiceQuery query = longPrompt();
    const auto others = peerRequests(10);
    pool.chooser.loads().setPeerUsage({}, others, start);
    // No endpoint has the prompt: all go to the home, where later requests find it.
    const std::string home = pool.chooser.choose({pool.pointers}, query, start, pool.random)->endpoint.id;
    CHECK(pool.draw(query)[home] == 200);
    // Another endpoint has it: that saves more than the home would.
    const std::string holder = home == "e0" ? "e1" : "e0";
    pool.chooser.recordPlacement(holder, cachedParts(promptPrefixKeys(query.model, query.parts), query.parts), query.memoryTokens);
    CHECK(pool.draw(query)[holder] == 200);
    // With a queue longer than the whole prompt takes there, they leave.
    pool.chooser.loads().setPeerUsage({{endpointKey(holder), queuedPrompts(5s)}}, others, start);
    CHECK(pool.draw(query)[holder] == 0);
}

TEST_CASE("An endpoint in back-off gets no request of the spread while another is left", "[spread]")
{
    Pool pool(3);
    const ChoiceQuery query = shortPrompt();
    pool.chooser.loads().setPeerUsage({}, peerRequests(100), start);
    const LoadTicket ticket = pool.chooser.begin(query, *pool.chooser.choose({pool.pointers[0]}, query, start, pool.random));
    pool.chooser.end(ticket, EndpointResult::NoResponse, start);
    const auto drawn = pool.draw(query);
    CHECK_FALSE(drawn.contains("e0"));
    CHECK(drawn.size() == 2);
    CHECK(pool.chooser.choose({pool.pointers[0]}, query, start, pool.random)->endpoint.id == "e0");
}

TEST_CASE("A report lists evidence of an endpoint's speed for a few seconds after the last request", "[spread]")
{
    // As one of 76 instances with 60 engines: an engine gets a request of the instance once in 20 s. Evidence was reported for 34 s after a long prompt, so
    // that each report listed nearly all engines.
    Pool pool(60);
    const auto reportBytes = [&](bool learns) {
        pool.chooser.loads().setLearnsCapacity(learns);
        PeerReport report;
        report.sender = {"entry-1", "10.0.0.1:7000", 120, "north"};
        report.endpoints = pool.chooser.loads().ownUsage(start);
        return encodePeerReport(report).size();
    };
    for (MonotonicTime now = start - 60s; now < start; now += 333ms) {
        ChoiceQuery query = shortPrompt();
        query.promptTokens = 1460 + static_cast<std::int64_t>(pool.random() % 15000);
        const auto choice = pool.chooser.choose({pool.pointers[pool.random() % 60]}, query, now, pool.random);
        LoadTicket ticket = pool.chooser.begin(query, *choice);
        pool.chooser.recordFirstOutput(ticket, query, *choice, now, now + 300ms);
        if (now < start - 2s) {
            pool.chooser.end(ticket, EndpointResult::Success, now + 300ms);
        }
    }
    const std::size_t without = reportBytes(false);
    const std::size_t with = reportBytes(true);
    const std::size_t listed = pool.chooser.loads().ownUsage(start).size();
    INFO("bytes without and with learned capacity: " << without << ", " << with << "; endpoints: " << listed);
    CHECK(listed <= 30);
    // At 2.7 reports/s a tenth of the 12 KB/s that the control traffic of an instance may take.
    CHECK(with - without <= 400);
}

TEST_CASE("Requests that few endpoints may serve expect only their share of what the other instances send", "[spread]")
{
    // All requests of a service counted as load on the two endpoints of a version under trial or of a home region, so that a third went to one with a queue.
    Pool pool(2);
    pool.chooser.loads().setPeerUsage({{endpointKey("e1"), queuedPrompts(500ms)}}, peerRequests(20), start);
    ChoiceQuery query = shortPrompt();
    CHECK(pool.draw(query)["e1"] > 30);
    query.serviceEndpoints = 10;
    CHECK(pool.draw(query)["e1"] == 0);
}

TEST_CASE("The forecast for a model is that of a typical choice and the same each time", "[spread]")
{
    // Models were compared by an endpoint drawn for each, without what the other instances send, so that the chosen model changed from draw to draw.
    Pool pool(3);
    EndpointUsageMap usage;
    usage[endpointKey("e0")].relativeTimes = {2 * 200, 200};
    const ChoiceQuery query = shortPrompt();
    pool.chooser.loads().setPeerUsage(usage, peerRequests(0), start);
    const Duration idle = pool.chooser.forecast(pool.pointers, query, start, pool.random)->firstOutput;
    CHECK(idle == 65ms);
    pool.chooser.loads().setPeerUsage(usage, peerRequests(20), start);
    const RandomSource before = pool.random;
    const auto forecast = pool.chooser.forecast(pool.pointers, query, start, pool.random);
    // 20 requests of 65 ms, of which the slow endpoint gets a fifth at most.
    CHECK(forecast->firstOutput > 500ms);
    CHECK(forecast->firstOutput < 715ms);
    CHECK(forecast->promptTime == 65ms);
    const bool drewNothing = pool.random == before;
    CHECK(drewNothing);
    CHECK_FALSE(pool.chooser.forecast({}, query, start, pool.random));
}

// Not run by default: prints the time of one choice for docs/design/learned-capacity.md.
TEST_CASE("Time of a choice among 60 endpoints", "[.timing]")
{
    Pool pool(60);
    EndpointUsageMap usage;
    for (const EndpointEntry &entry : pool.entries) {
        usage[endpointKey(entry.id)] = queuedPrompts(100ms);
    }
    pool.chooser.loads().setPeerUsage(usage, peerRequests(300), start);
    const ChoiceQuery query = longPrompt();
    constexpr int choices = 5000;
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        pool.chooser.choose(pool.pointers, query, start, pool.random);
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begun;
    WARN("microseconds for each choice: " << elapsed.count() / choices);
}
