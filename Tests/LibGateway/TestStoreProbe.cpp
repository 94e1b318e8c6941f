#include "LibGateway/StoreProbe.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("Only one kind probes an unavailable store", "[store]")
{
    // The store is unavailable to some instances, each of which called it repeatedly for every kind.
    StoreProbe probe;
    CHECK(probe.acquire(CatalogKind::Endpoints));
    CHECK_FALSE(probe.acquire(CatalogKind::Configuration));
    CHECK(probe.isWaiting(CatalogKind::Configuration));
    CHECK_FALSE(probe.isWaiting(CatalogKind::Endpoints));
    CHECK(probe.acquire(CatalogKind::Endpoints));
    probe.recordSuccess();
    CHECK_FALSE(probe.isWaiting(CatalogKind::Configuration));
}

TEST_CASE("A kind that no longer calls the store stops being the prober", "[store]")
{
    // A kind that a hub relays no longer calls the store; the followers of the other kinds must not wait for it.
    StoreProbe probe;
    REQUIRE(probe.acquire(CatalogKind::Endpoints));
    probe.release(CatalogKind::Rollouts);
    CHECK(probe.isWaiting(CatalogKind::Configuration));
    probe.release(CatalogKind::Endpoints);
    CHECK(probe.acquire(CatalogKind::Configuration));
}
