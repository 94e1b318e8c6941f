#include "LibGateway/StoreProbe.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("One kind asks a store that is away", "[store]")
{
    // Pattern: the store turns some instances away; each asked it for every kind again and again.
    StoreProbe probe;
    CHECK(probe.acquire(CatalogKind::Endpoints));
    CHECK_FALSE(probe.acquire(CatalogKind::Configuration));
    CHECK(probe.isWaiting(CatalogKind::Configuration));
    CHECK_FALSE(probe.isWaiting(CatalogKind::Endpoints));
    CHECK(probe.acquire(CatalogKind::Endpoints));
    probe.recordSuccess();
    CHECK_FALSE(probe.isWaiting(CatalogKind::Configuration));
}

TEST_CASE("A kind that is relayed by a hub no longer asks for the others", "[store]")
{
    // Guards against followers that wait for one which has stopped asking.
    StoreProbe probe;
    REQUIRE(probe.acquire(CatalogKind::Endpoints));
    probe.release(CatalogKind::Rollouts);
    CHECK(probe.isWaiting(CatalogKind::Configuration));
    probe.release(CatalogKind::Endpoints);
    CHECK(probe.acquire(CatalogKind::Configuration));
}
