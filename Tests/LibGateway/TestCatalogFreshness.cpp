#include "LibGateway/CatalogFreshness.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr Duration changeLimit = 2s;
const MonotonicTime start = MonotonicTime() + 1h;

CatalogReadState stateOf(CatalogSource source)
{
    CatalogReadState state;
    state.source = source;
    state.freshness.confirmedAt = start;
    return state;
}
} // namespace

TEST_CASE("The age of a copy, a relay's confirmation and one read of the store fit into the limit on changes", "[freshness]")
{
    for (const Duration limit : {Duration(2s), Duration(4s), Duration(5s)}) {
        const CatalogLimits limits = catalogLimits(limit);
        CHECK(limits.watchWait < limits.maxAge);
        CHECK(limits.maxAge + limit / 3 < limit);
    }
}

TEST_CASE("The store is watched unless a hub relays the changes or is being looked for", "[freshness]")
{
    const CatalogLimits limits = catalogLimits(changeLimit);
    CHECK(nextWatchWait(stateOf(CatalogSource::Store), limits, start + 10ms) == limits.watchWait);
    CHECK_FALSE(nextWatchWait(stateOf(CatalogSource::Hub), limits, start + 10ms));
    CHECK_FALSE(nextWatchWait(stateOf(CatalogSource::NextHub), limits, start + 10ms));
}

TEST_CASE("An overdue copy is read at once, whatever its source", "[freshness]")
{
    // Guards against requests to endpoints that have left: the time to find another hub was added to the age of the copy.
    const CatalogLimits limits = catalogLimits(changeLimit);
    for (const CatalogSource source : {CatalogSource::Store, CatalogSource::Hub, CatalogSource::NextHub}) {
        CHECK(nextWatchWait(stateOf(source), limits, start + limits.maxAge) == Duration::zero());
    }
}

TEST_CASE("A store that fails is not asked to hold a watch open", "[freshness]")
{
    // Guards against late configurations: the store accepted a watch of 15 s in an outage, and it blocked the follower after the outage.
    CatalogReadState state = stateOf(CatalogSource::Store);
    state.isStoreFailing = true;
    CHECK(nextWatchWait(state, catalogLimits(changeLimit), start + 10ms) == Duration::zero());
}

TEST_CASE("Changes that a hub withholds are read from the store", "[freshness]")
{
    CatalogReadState state = stateOf(CatalogSource::Hub);
    state.isPageWithheld = true;
    CHECK(nextWatchWait(state, catalogLimits(changeLimit), start + 10ms) == Duration::zero());
}
