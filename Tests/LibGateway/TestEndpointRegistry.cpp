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

TEST_CASE("A registration that is missing after a store outage is kept for the re-registration time", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.replaceAll({endpoint("a"), endpoint("b")}, SnapshotTrust(), start);
    const auto held = registry.replaceAll({endpoint("a")}, SnapshotTrust {start}, start);
    REQUIRE(held.size() == 1);
    CHECK(held[0].kind == EndpointChangeKind::Held);
    CHECK(registry.ready("pool").size() == 2);
    CHECK(registry.expire(start + 1900ms).empty());
    CHECK(registry.expire(start + 2s).size() == 1);
    CHECK(registry.ready("pool").size() == 1);
}

TEST_CASE("An endpoint that leaves within the re-registration time after a store outage is kept no longer than that time", "[registry]")
{
    // Guards against requests to endpoints that have left (DRAIN): a removal within 2.5 s after an outage was put off by 2 s, as long as the whole limit.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    REQUIRE(registry.remove("a", SnapshotTrust {start}, start + 1500ms).size() == 1);
    CHECK(registry.ready("pool").size() == 1);
    CHECK(registry.expire(start + 2s).size() == 1);
    CHECK(registry.ready("pool").empty());
    registry.put(endpoint("b"), start);
    CHECK(registry.remove("b", SnapshotTrust {start}, start + 2s).front().kind == EndpointChangeKind::Removed);
}

TEST_CASE("An endpoint that registers again after a store outage does not expire", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    registry.remove("a", SnapshotTrust {start}, start);
    registry.put(endpoint("a"), start);
    CHECK(registry.expire(start + 10s).empty());
    CHECK(registry.ready("pool").size() == 1);
}

TEST_CASE("A removal without an outage takes effect at once", "[registry]")
{
    // An endpoint is removed without draining first, or its draining falls into a gap of the store's history.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    CHECK(registry.remove("a", SnapshotTrust(), start).size() == 1);
    CHECK(registry.ready("pool").empty());
}

TEST_CASE("A draining endpoint that is missing after a store outage is removed at once", "[registry]")
{
    EndpointRegistry registry(2s);
    EndpointEntry leaving = endpoint("a");
    leaving.state = EndpointState::Draining;
    registry.put(leaving, start);
    CHECK(registry.ready("pool").empty());
    registry.replaceAll({}, SnapshotTrust {start}, start);
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("A new incarnation with the same id is a restart", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a", 1), start);
    const auto changes = registry.put(endpoint("a", 2), start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind == EndpointChangeKind::Restarted);
}

TEST_CASE("A peer's report of a leaving endpoint applies to that incarnation only", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a", 2), start);
    CHECK(registry.markLeaving("a", 1, start + 5s).empty());
    CHECK(registry.ready("pool").size() == 1);
    CHECK(registry.markLeaving("a", 2, start + 5s).size() == 1);
    CHECK(registry.ready("pool").empty());
}

TEST_CASE("An instance does not report leaving endpoints that it received from its peers", "[registry]")
{
    // Otherwise instances report a leaving endpoint to each other for ever, after it registered again (soak test, seed 2031).
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    REQUIRE(registry.markLeaving("a", 1, start + 5s).size() == 1);
    CHECK(registry.draining().empty());
}

TEST_CASE("A peer's report of a leaving endpoint shortly after its registration is ignored", "[registry]")
{
    // A registration expires in the store and returns with the same incarnation while reports of its removal are still in transit.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    registry.remove("a", SnapshotTrust(), start + 5s);
    registry.put(endpoint("a"), start + 6s);
    CHECK(registry.markLeaving("a", 1, start + 7s).empty());
    CHECK(registry.ready("pool").size() == 1);
    // The next registration in the store overrides the peers' report.
    REQUIRE(registry.markLeaving("a", 1, start + 20s).size() == 1);
    registry.put(endpoint("a"), start + 21s);
    CHECK(registry.ready("pool").size() == 1);
}

TEST_CASE("A registration that is missing after an outage is not kept if another instance saw it end", "[registry]")
{
    // The store turned only this instance away. The watch that follows replays the registration and its end, and the end was taken for one
    // that had expired in the outage: requests reached the endpoint 4.5 s after it had left.
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    REQUIRE(registry.remove("a", SnapshotTrust {start}, start).size() == 1);
    REQUIRE(registry.ready("pool").size() == 1);
    CHECK(registry.markLeaving("a", 1, start + 100ms).size() == 1);
    CHECK(registry.ready("pool").empty());
}

TEST_CASE("An endpoint is found by its key until it is removed", "[registry]")
{
    EndpointRegistry registry(2s);
    registry.put(endpoint("a"), start);
    REQUIRE(registry.findByKey(endpointKey("a")));
    CHECK(registry.findByKey(endpointKey("a"))->id == "a");
    registry.remove("a", SnapshotTrust(), start);
    CHECK_FALSE(registry.findByKey(endpointKey("a")));
    CHECK_FALSE(registry.findByKey(endpointKey("b")));
}

TEST_CASE("A renewal of a registration is no change of the endpoint, and its cold time is kept", "[registry]")
{
    // Guards against a log line for each endpoint and renewal: the time that a cold endpoint states counts down.
    EndpointRegistry registry(2s);
    EndpointEntry entry = endpoint("a");
    entry.coldRemaining = 3s;
    CHECK(registry.put(entry, start).size() == 1);
    entry.coldRemaining = 2s;
    ++entry.sequence;
    CHECK(registry.put(entry, start + 1s).empty());
    CHECK(registry.find("a")->coldRemaining == 2s);
    CHECK(registry.find("a")->sequence == 1);
    entry.coldRemaining = 1s;
    entry.slots = 9;
    CHECK(registry.put(entry, start + 2s).front().kind == EndpointChangeKind::Changed);
}
