#include "LibGateway/EndpointChooser.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

struct Pool {
    explicit Pool(int count)
    {
        for (int i = 0; i < count; ++i) {
            EndpointEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "pool";
            entry.failureDomain = i % 2 == 0 ? "a" : "b";
            entry.slots = 8;
            this->entries.push_back(entry);
        }
        for (const EndpointEntry &entry : this->entries) {
            this->pointers.push_back(&entry);
        }
    }

    std::vector<EndpointEntry> entries;
    std::vector<const EndpointEntry *> pointers;
};

ChoiceQuery longPrompt(const std::string &sharedPart, const std::string &ownPart)
{
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 17000;
    query.parts = {{sharedPart, 13000}, {ownPart, 4000}};
    query.memoryTokens = 500000;
    return query;
}
} // namespace

TEST_CASE("Instances choose the same endpoint for a shared prompt prefix without messages", "[chooser]")
{
    const Pool pool(9);
    EndpointChooser first("a");
    EndpointChooser second("a");
    RandomSource random(1);
    for (int i = 0; i < 50; ++i) {
        const ChoiceQuery query = longPrompt("part" + std::to_string(i), "own");
        CHECK(first.choose(pool.pointers, query, start, random)->endpoint.id == second.choose(pool.pointers, query, start, random)->endpoint.id);
    }
}

TEST_CASE("The loss of an endpoint moves only the prompts that it served", "[chooser]")
{
    // Replicas crash; prompts cached on the remaining ones must still be sent there.
    const Pool pool(9);
    const EndpointChooser chooser("a");
    RandomSource random(1);
    std::vector<const EndpointEntry *> left = pool.pointers;
    left.erase(left.begin());
    for (int i = 0; i < 50; ++i) {
        const ChoiceQuery query = longPrompt("part" + std::to_string(i), "own");
        const std::string before = chooser.choose(pool.pointers, query, start, random)->endpoint.id;
        if (before != "e0") {
            CHECK(chooser.choose(left, query, start, random)->endpoint.id == before);
        }
    }
}

TEST_CASE("A frequent prompt prefix is spread over several endpoints before its queue grows long", "[chooser]")
{
    // One prefix gets a large share of the traffic.
    const Pool pool(9);
    EndpointChooser chooser("a");
    RandomSource random(1);
    std::map<std::string, int> used;
    for (int i = 0; i < 30; ++i) {
        const ChoiceQuery query = longPrompt("hot", "own" + std::to_string(i));
        const auto choice = chooser.choose(pool.pointers, query, start, random);
        REQUIRE(choice);
        chooser.begin(query, *choice);
        ++used[choice->endpoint.id];
    }
    CHECK(used.size() > 2);
}

TEST_CASE("A loaded endpoint is avoided if only other instances report its load", "[chooser]")
{
    const Pool pool(2);
    EndpointChooser chooser("a");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 500;
    chooser.loads().setPeerUsage({{endpointKey("e0"), {20, 5s, {}, {}}}}, {}, start);
    CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e1");
    chooser.loads().setPeerUsage({{endpointKey("e1"), {20, 5s, {}, {}}}}, {}, start);
    CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e0");
}

TEST_CASE("An endpoint that did not respond is avoided during its back-off unless no other is left", "[chooser]")
{
    const Pool pool(2);
    EndpointChooser chooser("a");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "plain";
    const LoadTicket ticket = chooser.begin(query, *chooser.choose({pool.pointers[0]}, query, start, random));
    chooser.end(ticket, EndpointResult::NoResponse, start);
    for (int i = 0; i < 20; ++i) {
        CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e1");
    }
    query.excluded = {"e1"};
    CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e0");
    query.excluded = {"e0", "e1"};
    CHECK_FALSE(chooser.choose(pool.pointers, query, start, random));
}

TEST_CASE("An endpoint with a high failure share gets no requests while a healthy one is available", "[chooser]")
{
    // Replicas fail part of their requests while their health check succeeds.
    const Pool pool(2);
    EndpointChooser chooser("c");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "plain";
    for (int i = 0; i < 10; ++i) {
        const auto bad = chooser.choose({pool.pointers[0]}, query, start, random);
        chooser.end(chooser.begin(query, *bad), EndpointResult::Failure, start);
    }
    int toFailing = 0;
    for (int i = 0; i < 100; ++i) {
        toFailing += chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e0" ? 1 : 0;
    }
    CHECK(toFailing == 0);
}

TEST_CASE("A prompt is sent to the endpoint that cached its prefix for another instance", "[chooser]")
{
    // With hundreds of shared prefixes and many instances, each instance handles a given prefix only rarely.
    const Pool pool(9);
    EndpointChooser first("c");
    EndpointChooser second("c");
    RandomSource random(1);
    const ChoiceQuery query = longPrompt("part", "own1");
    const EndpointEntry *away = nullptr;
    for (const EndpointEntry *candidate : pool.pointers) {
        away = first.choose(pool.pointers, query, start, random)->endpoint.id == candidate->id ? away : candidate;
    }
    first.begin(query, *first.choose({away}, query, start, random));
    const CachePlacements reported = first.takePlacements();
    REQUIRE(reported.contains(endpointKey(away->id)));
    // The last part of a prompt is the request's own and is not reported.
    CHECK(reported.at(endpointKey(away->id)).size() == 1);
    CHECK(first.takePlacements().empty());
    second.recordPlacement(away->id, reported.at(endpointKey(away->id)), query.memoryTokens);
    const auto choice = second.choose(pool.pointers, longPrompt("part", "own2"), start, random);
    CHECK(choice->endpoint.id == away->id);
    CHECK(choice->uncachedTokens == 4000);
}

TEST_CASE("The slowdown and the wait of a load peak decay without further requests", "[chooser]")
{
    // Periodic load: the slowdown observed at a peak kept requests away from idle engines long after the peak.
    const Pool pool(2);
    EndpointChooser chooser("c");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 500;
    const Duration idle = chooser.choose(pool.pointers, query, start, random)->firstOutput;
    for (int i = 0; i < 10; ++i) {
        const auto choice = chooser.choose(pool.pointers, query, start, random);
        LoadTicket ticket = chooser.begin(query, *choice);
        chooser.recordFirstOutput(ticket, query, *choice, start, start + 2s);
        chooser.end(ticket, EndpointResult::Success, start + 2s);
    }
    CHECK(chooser.choose(pool.pointers, query, start + 2s, random)->firstOutput > idle * 5);
    CHECK(chooser.loads().meanPromptWait("pool", start + 2s) > 1s);
    CHECK(chooser.choose(pool.pointers, query, start + 30s, random)->firstOutput < idle * 2);
    CHECK(chooser.loads().meanPromptWait("pool", start + 30s) < 100ms);
}

TEST_CASE("Statistics reported by other instances count like own observations", "[chooser]")
{
    // A burst in another failure domain that this instance has not observed itself yet.
    EndpointLoads loads;
    CHECK(loads.meanPromptWait("pool", start) == Duration::zero());
    loads.setPeerUsage({}, {{"pool", {{40, 10}, {99, 99}, {}}}}, start);
    CHECK(loads.meanPromptWait("pool", start) > 900ms);
    CHECK(loads.meanSlowdown("pool", start) > 3);
    loads.setPeerUsage({}, {}, start);
    CHECK(loads.meanPromptWait("pool", start) == Duration::zero());
}

TEST_CASE("Endpoints that other instances found fast get the requests, in proportion to their speed", "[chooser]")
{
    // A third of the endpoints is 2.4 times slower, and no instance has enough observations of its own to see it. A choice that sent all requests to the
    // fast endpoints, or the same number to each, would leave the queues of different lengths in seconds.
    const Pool pool(9);
    EndpointChooser chooser("c");
    chooser.loads().setLearnsCapacity(true);
    EndpointUsageMap usage;
    for (int i = 0; i < 9; ++i) {
        usage[endpointKey("e" + std::to_string(i))].relativeTimes = {(i % 3 == 0 ? 1.7 : 0.7) * 20, 20};
    }
    chooser.loads().setPeerUsage(usage, {}, start);
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 1000;
    int toSlow = 0;
    constexpr int requests = 340;
    for (int i = 0; i < requests; ++i) {
        const auto choice = chooser.choose(pool.pointers, query, start, random);
        chooser.begin(query, *choice);
        toSlow += (choice->endpoint.id[1] - '0') % 3 == 0 ? 1 : 0;
    }
    // 3 / 1.7 of 3 / 1.7 + 6 / 0.7; concurrency costs the endpoints with more requests some more time.
    const double share = static_cast<double>(toSlow) / requests;
    CHECK(share > 0.13);
    CHECK(share < 0.25);
}

TEST_CASE("Without learned capacity choices and reports are as before", "[chooser]")
{
    // Deployments that don't ask for it must be served as before, whatever other instances report.
    const Pool pool(2);
    EndpointChooser chooser("c");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "plain";
    EndpointUsage usage;
    usage.running = 4;
    usage.relativeTimes = {100, 20};
    chooser.loads().setPeerUsage({{endpointKey("e0"), usage}}, {}, start);
    CHECK(chooser.choose({pool.pointers[0]}, query, start, random)->nominalFirstOutput == 90ms);
    CHECK(chooser.choose({pool.pointers[0]}, query, start, random)->firstOutput == 90ms);
    query.model = "large";
    query.promptTokens = 1000;
    CHECK(chooser.choose({pool.pointers[0]}, query, start, random)->firstOutput == 70200us);
    LoadTicket ticket = chooser.begin(query, *chooser.choose({pool.pointers[0]}, query, start, random));
    chooser.recordFirstOutput(ticket, query, *chooser.choose({pool.pointers[0]}, query, start, random), start, start + 200ms);
    CHECK(chooser.loads().ownUsage(start + 200ms).at(endpointKey("e0")).relativeTimes == ObservationSum());
    chooser.loads().setLearnsCapacity(true);
    query.model = "";
    CHECK(chooser.choose({pool.pointers[0]}, query, start, random)->firstOutput > 200ms);
}

TEST_CASE("The speed of a model is estimated from prompts without a queue", "[chooser]")
{
    EngineSpeeds speeds;
    for (int i = 0; i < 20; ++i) {
        speeds.recordPrompt("pool", "small", 10000, 125ms, PromptQueue::Empty);
        speeds.recordOutput("pool", "small", 100, 300ms);
    }
    CHECK(speeds.promptTime("pool", "small", 10000) == 125ms);
    CHECK(speeds.outputTime("pool", "small", 100) == 300ms);
    CHECK(speeds.promptTime("pool", "other", 10000) > 300ms);
}

TEST_CASE("The speed of a model is estimated even if all prompts may have been queued", "[chooser]")
{
    // In a large fleet, no instance ever observes an engine without queued prompts of other instances.
    EngineSpeeds speeds;
    for (int i = 0; i < 100; ++i) {
        speeds.recordPrompt("pool", "small", 10000, i % 4 == 0 ? 125ms : 900ms, PromptQueue::Possible);
    }
    CHECK(speeds.promptTime("pool", "small", 10000) < 350ms);
}

TEST_CASE("A cached prompt part counts only if all parts before it are cached", "[chooser]")
{
    PromptCacheView cache(20000);
    const std::vector<PromptPart> parts = {{"a", 8000}, {"b", 4000}, {"c", 1000}};
    const auto prefixKeys = promptPrefixKeys("m", parts);
    cache.record(cachedParts(prefixKeys, parts));
    CHECK(cache.cachedTokens(prefixKeys, parts) == 13000);
    const std::vector<PromptPart> other = {{"b", 4000}, {"c", 1000}};
    CHECK(cache.cachedTokens(promptPrefixKeys("m", other), other) == 0);
    CHECK(cache.cachedTokens(promptPrefixKeys("n", parts), parts) == 0);
    // The least recently used parts are evicted.
    const std::vector<PromptPart> large = {{"z", 12500}};
    cache.record(cachedParts(promptPrefixKeys("m", large), large));
    CHECK(cache.cachedTokens(prefixKeys, parts) < 13000);
}
