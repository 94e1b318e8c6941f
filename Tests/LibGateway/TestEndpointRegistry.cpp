#include "LibGateway/EndpointRegistry.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

EndpointEntry endpoint(const std::string &id, std::int64_t incarnation = 1)
{
    EndpointEntry entry;
    entry.id = id;
    entry.service = "pool";
    entry.address = {"10.0.0.1", 80};
    entry.version = "v1";
    entry.incarnation = incarnation;
    return entry;
}
} // namespace

TEST_CASE("A registration that lapsed in a store outage is kept until its endpoint can be back", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.replaceAll({endpoint("a"), endpoint("b")}, SnapshotTrust::Complete, start);
    const auto held = registry.replaceAll({endpoint("a")}, SnapshotTrust::AfterOutage, start);
    REQUIRE(held.size() == 1);
    CHECK(held[0].kind == EndpointChangeKind::Held);
    CHECK(registry.ready("pool").size() == 2);
    CHECK(registry.expire(start + 1900ms).empty());
    CHECK(registry.expire(start + 2s).size() == 1);
    CHECK(registry.ready("pool").size() == 1);
}

TEST_CASE("A registration that comes back is kept for good", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    registry.remove("a", SnapshotTrust::AfterOutage, start);
    registry.put(endpoint("a"), start);
    CHECK(registry.expire(start + 10s).empty());
    CHECK(registry.ready("pool").size() == 1);
}

TEST_CASE("A removal without an outage counts at once", "[registry]")
{
    // Pattern: an endpoint leaves without saying so, or in a gap of the store's history.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    CHECK(registry.remove("a", SnapshotTrust::Complete, start).size() == 1);
    CHECK(registry.ready("pool").empty());
}

TEST_CASE("An endpoint that was leaving is not kept after an outage", "[registry]")
{
    EndpointRegistry registry(2s);
    EndpointEntry leaving = endpoint("a");
    leaving.state = EndpointState::Draining;
    registry.put(leaving, start);
    CHECK(registry.ready("pool").empty());
    registry.replaceAll({}, SnapshotTrust::AfterOutage, start);
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("A restart under the same id is told apart", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a", 1), start);
    const auto changes = registry.put(endpoint("a", 2), start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind == EndpointChangeKind::Restarted);
}

TEST_CASE("Another instance's word about a leaving endpoint holds for that incarnation alone", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a", 2), start);
    CHECK(registry.markLeaving("a", 1, start + 5s).empty());
    CHECK(registry.ready("pool").size() == 1);
    CHECK(registry.markLeaving("a", 2, start + 5s).size() == 1);
    CHECK(registry.ready("pool").empty());
}

TEST_CASE("An instance does not repeat what others told of a leaving endpoint", "[registry]")
{
    // Guards against instances that remind each other of it for ever, after the endpoint registered again (soak, seed 2031).
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    REQUIRE(registry.markLeaving("a", 1, start + 5s).size() == 1);
    CHECK(registry.draining().empty());
}

TEST_CASE("A word about the time before a registration does not end it", "[registry]")
{
    // Pattern: a registration lapses at the store and comes back with the same incarnation; reports about it are still under way.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    registry.remove("a", SnapshotTrust::Complete, start + 5s);
    registry.put(endpoint("a"), start + 6s);
    CHECK(registry.markLeaving("a", 1, start + 7s).empty());
    CHECK(registry.ready("pool").size() == 1);
    // The store's next word ends what others told.
    REQUIRE(registry.markLeaving("a", 1, start + 20s).size() == 1);
    registry.put(endpoint("a"), start + 21s);
    CHECK(registry.ready("pool").size() == 1);
}
