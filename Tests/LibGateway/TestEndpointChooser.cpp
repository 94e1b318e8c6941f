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

TEST_CASE("Instances agree on the home of a shared part without messages", "[chooser]")
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

TEST_CASE("A failed endpoint moves its own parts only", "[chooser]")
{
    // Pattern: replicas crash; the others keep what they have cached.
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

TEST_CASE("A hot part overflows to other endpoints before its queue grows long", "[chooser]")
{
    // Pattern: one key gets much of the traffic.
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

TEST_CASE("Load that other instances report keeps requests away", "[chooser]")
{
    const Pool pool(2);
    EndpointChooser chooser("a");
    RandomSource random(1);
    ChoiceQuery query;
    query.service = "pool";
    query.model = "large";
    query.promptTokens = 500;
    chooser.loads().setPeerUsage({{"e0", {20, 5s, {}}}}, {});
    CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e1");
    chooser.loads().setPeerUsage({{"e1", {20, 5s, {}}}}, {});
    CHECK(chooser.choose(pool.pointers, query, start, random)->endpoint.id == "e0");
}

TEST_CASE("A silent endpoint is avoided for a time and used if nothing else is left", "[chooser]")
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

TEST_CASE("An endpoint that fails much of its work gets less of it", "[chooser]")
{
    // Pattern: replicas fail part of their requests while their health check is good.
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

TEST_CASE("A prompt goes where another instance let its shared part be read", "[chooser]")
{
    // Pattern: hundreds of shared parts and many instances, each of which sees every part only now and then.
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
    const CachePlacements told = first.takePlacements();
    REQUIRE(told.contains(away->id));
    // The own part of a prompt is of no use to others.
    CHECK(told.at(away->id).size() == 1);
    CHECK(first.takePlacements().empty());
    second.recordPlacement(away->id, told.at(away->id), query.memoryTokens);
    const auto choice = second.choose(pool.pointers, longPrompt("part", "own2"), start, random);
    CHECK(choice->endpoint.id == away->id);
    CHECK(choice->uncachedTokens == 4000);
}

TEST_CASE("A peak is forgotten at endpoints that are not asked any more", "[chooser]")
{
    // Pattern: a wave; the slowness seen at its peak kept requests from idle engines long after it.
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

TEST_CASE("The wait that other instances saw counts as much as the own one", "[chooser]")
{
    // Pattern: a burst in another failure domain; this instance has not met it yet.
    EndpointLoads loads;
    CHECK(loads.meanPromptWait("pool", start) == Duration::zero());
    loads.setPeerUsage({}, {{"pool", {{40, 10}, {99, 99}, {}}}});
    CHECK(loads.meanPromptWait("pool", start) > 900ms);
    CHECK(loads.meanSlowdown("pool", start) > 3);
    loads.setPeerUsage({}, {});
    CHECK(loads.meanPromptWait("pool", start) == Duration::zero());
}

TEST_CASE("The speed of a model is learned from prompts read alone", "[chooser]")
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

TEST_CASE("The speed of a model is learned among waiting prompts too", "[chooser]")
{
    // Pattern: a large fleet, in which no instance ever sees an engine without prompts of the others.
    EngineSpeeds speeds;
    for (int i = 0; i < 100; ++i) {
        speeds.recordPrompt("pool", "small", 10000, i % 4 == 0 ? 125ms : 900ms, PromptQueue::Possible);
    }
    CHECK(speeds.promptTime("pool", "small", 10000) < 350ms);
}

TEST_CASE("Cached parts count only behind all parts before them", "[chooser]")
{
    PromptCacheView cache(20000);
    const std::vector<PromptPart> parts = {{"a", 8000}, {"b", 4000}, {"c", 1000}};
    const auto chain = promptChain("m", parts);
    cache.record(cachedParts(chain, parts));
    CHECK(cache.cachedTokens(chain, parts) == 13000);
    const std::vector<PromptPart> other = {{"b", 4000}, {"c", 1000}};
    CHECK(cache.cachedTokens(promptChain("m", other), other) == 0);
    CHECK(cache.cachedTokens(promptChain("n", parts), parts) == 0);
    // The least recently used parts drop out.
    const std::vector<PromptPart> large = {{"z", 12500}};
    cache.record(cachedParts(promptChain("m", large), large));
    CHECK(cache.cachedTokens(chain, parts) < 13000);
}
