#include "StoreFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr const char *keptKey = "Bearer key-a";
constexpr const char *revokedKey = "Bearer key-b";
constexpr Duration startTime = 500ms;
constexpr Duration reregistrationTime = 2s;

/// Writes the first configuration and starts an endpoint.
void prepare(StoreFixture &fixture)
{
    fixture.configure(1, accountList({"a", "b"}));
    fixture.addEndpoint("e1");
}

/// Takes a key away in a store that has just returned from a copy, and lets the store give out the revisions of its former era again.
void revokeAfterRestore(StoreFixture &fixture, int version)
{
    fixture.store.copy();
    fixture.raiseRevision(fixture.store.revision() + 20);
    fixture.run(startTime);
    const std::uint64_t former = fixture.store.revision();
    fixture.store.restore();
    fixture.configure(version, accountList({"a"}));
    fixture.raiseRevision(former + 5);
}
} // namespace

TEST_CASE("A key taken away after the store returned from a copy is refused within the limit", "[restore]")
{
    // Guards against CONFIG (review/12): a watch went on from a revision that the new era had given out again, and the changes below it were never read.
    StoreFixture fixture;
    prepare(fixture);
    ServingInstance &instance = fixture.addInstance();
    fixture.run(startTime);
    REQUIRE(fixture.send(instance, revokedKey) == 200);
    revokeAfterRestore(fixture, 2);
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
    CHECK(fixture.send(instance, keptKey) == 200);
}

TEST_CASE("A store that returns from a copy twice in a row loses no change", "[restore]")
{
    // Guards against CONFIG: the second return falls into the time in which the first one is noticed.
    StoreFixture fixture;
    prepare(fixture);
    ServingInstance &instance = fixture.addInstance();
    fixture.run(startTime);
    revokeAfterRestore(fixture, 2);
    fixture.run(60ms);
    fixture.store.restore();
    fixture.configure(3, accountList({"a"}));
    fixture.raiseRevision(fixture.store.revision() + 60);
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
    CHECK(fixture.send(instance, keptKey) == 200);
}

TEST_CASE("A watch that is answered late with the state of the former era delays no change beyond the limit", "[restore]")
{
    StoreFixture fixture;
    prepare(fixture);
    ServingInstance &instance = fixture.addInstance();
    fixture.run(startTime);
    fixture.store.answersLate = true;
    revokeAfterRestore(fixture, 2);
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
}

TEST_CASE("A list whose pages are of two eras is read again", "[restore]")
{
    // Guards against a copy that mixes two eras: the first page of the list has the revision of the former one.
    StoreFixture fixture;
    prepare(fixture);
    fixture.addEndpoint("e2");
    fixture.store.pageSize = 1;
    fixture.store.copy();
    int pages = 0;
    fixture.store.beforePage = [&](const std::string &kind) {
        if (kind == "servers" && ++pages == 2) {
            fixture.store.restore();
            fixture.registerEndpoint("e1", "draining");
            fixture.registerEndpoint("e2", "draining");
            fixture.raiseRevision(fixture.store.revision() + 20);
        }
    };
    ServingInstance &instance = fixture.addInstance();
    fixture.run(changeLimit);
    CHECK(fixture.store.lists["servers"] >= 4);
    CHECK(fixture.send(instance, keptKey) == 503);
}

TEST_CASE("An older configuration in the store's copy does not replace the one in force", "[restore]")
{
    // Guards against CONFIG: a key that was taken away before the store's return would work again until the operator has written.
    StoreFixture fixture;
    prepare(fixture);
    ServingInstance &instance = fixture.addInstance();
    fixture.run(startTime);
    fixture.store.copy();
    fixture.configure(2, accountList({"a"}));
    fixture.run(startTime);
    REQUIRE(fixture.send(instance, revokedKey) == 401);
    fixture.store.restore();
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
    CHECK(fixture.send(instance, keptKey) == 200);
}

TEST_CASE("An endpoint that the store's copy lacks keeps serving for the time to register again, and no longer", "[restore]")
{
    StoreFixture fixture;
    prepare(fixture);
    ServingInstance &instance = fixture.addInstance();
    fixture.run(startTime);
    fixture.store.copy();
    fixture.addEndpoint("e2");
    fixture.run(startTime);
    fixture.store.restore();
    // No other endpoint is ready.
    fixture.registerEndpoint("e1", "draining");
    fixture.run(1500ms);
    CHECK(fixture.send(instance, keptKey) == 200);
    SECTION("it registers again")
    {
        fixture.registerEndpoint("e2");
        fixture.run(2 * reregistrationTime);
        CHECK(fixture.send(instance, keptKey) == 200);
    }
    SECTION("it does not")
    {
        fixture.run(2 * reregistrationTime);
        CHECK(fixture.send(instance, keptKey) == 503);
    }
}

TEST_CASE("A store that stays in its era, or states none, is listed once for each kind", "[restore]")
{
    StoreFixture fixture;
    fixture.store.statesEra = GENERATE(true, false);
    prepare(fixture);
    ServingInstance &hub = fixture.addInstance();
    ServingInstance &follower = fixture.addInstance(hub.relayed.relayAddress());
    fixture.run(startTime);
    for (int version = 2; version < 6; ++version) {
        fixture.configure(version, accountList({"a", "b"}));
        fixture.registerEndpoint("e1");
        fixture.run(startTime);
    }
    CHECK(fixture.send(follower, keptKey) == 200);
    for (const std::string kind : {"config", "servers", "rollouts", "evacuations"}) {
        CHECK(fixture.store.lists[kind] == 2);
    }
}
