#include "LibColdStart/FleetMemory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};
const std::string endpoint = "i-1";

std::vector<std::string> addresses(int first, int end)
{
    std::vector<std::string> result;
    for (int i = first; i < end; ++i) {
        result.push_back("10.0.0." + std::to_string(i) + ":90");
    }
    return result;
}
} // namespace

TEST_CASE("Instances with the same view have different ranks", "[fleet]")
{
    std::set<int> ranks;
    for (const std::string &own : addresses(0, 9)) {
        FleetMemory memory;
        memory.update({own, addresses(0, 9), {}}, start);
        memory.update({own, addresses(0, 9), {}}, start + 4s);
        ranks.insert(memory.rankFor(endpoint).value());
        CHECK(memory.size() == 9);
    }
    CHECK(ranks.size() == 9);
}

TEST_CASE("A member that falls silent keeps its rank, so that the parts of a partition take no share twice", "[fleet]")
{
    // Guards against FAILBACK: with the live instances alone, each part of a partition had its own first few.
    FleetMemory memory;
    const std::string own = addresses(0, 1).front();
    memory.update({own, addresses(0, 60), {}}, start);
    memory.update({own, addresses(0, 60), {}}, start + 4s);
    const int rank = memory.rankFor(endpoint).value();
    memory.update({own, {own}, {}}, start + 60s);
    CHECK(memory.rankFor(endpoint) == rank);
    CHECK(memory.size() == 60);
    memory.update({own, {own}, {}}, start + 10min);
    CHECK(memory.size() == 1);
    CHECK(memory.rankFor(endpoint) == 0);
}

TEST_CASE("An instance that has not reached the others of its settings has no rank, and one that is alone has the first", "[fleet]")
{
    // Guards against FAILBACK: many isolated instances would each take the whole share.
    const std::string own = addresses(0, 1).front();
    FleetMemory isolated;
    isolated.update({own, {own}, addresses(0, 4)}, start);
    isolated.update({own, {own}, addresses(0, 4)}, start + 1min);
    CHECK_FALSE(isolated.rankFor(endpoint));
    isolated.update({own, addresses(0, 2), addresses(0, 4)}, start + 1min);
    isolated.update({own, addresses(0, 2), addresses(0, 4)}, start + 2min);
    CHECK_FALSE(isolated.rankFor(endpoint));
    isolated.update({own, addresses(0, 3), addresses(0, 4)}, start + 2min);
    isolated.update({own, addresses(0, 3), addresses(0, 4)}, start + 2min + 4s);
    CHECK(isolated.rankFor(endpoint));
    FleetMemory alone;
    alone.update({own, {}, {own}}, start);
    CHECK(alone.rankFor(endpoint) == 0);
}

TEST_CASE("A new instance has no rank until it and the fleet know each other", "[fleet]")
{
    // Guards against FAILBACK: an instance that had just started knew a few members only, and took a share that another one still had.
    const std::string own = addresses(0, 1).front();
    FleetMemory memory;
    memory.update({own, addresses(0, 3), addresses(0, 3)}, start);
    CHECK_FALSE(memory.rankFor(endpoint));
    const std::uint64_t version = memory.version();
    memory.update({own, addresses(0, 60), addresses(0, 3)}, start + 3s);
    CHECK_FALSE(memory.rankFor(endpoint));
    memory.update({own, addresses(0, 60), addresses(0, 3)}, start + 4s);
    CHECK(memory.rankFor(endpoint));
    CHECK(memory.version() > version);
}

TEST_CASE("An instance that has forgotten its silent seeds has no rank until it has reached them again", "[fleet]")
{
    // Guards against FAILBACK: after five minutes alone, each isolated instance had the first rank and the whole share.
    const std::string own = addresses(0, 1).front();
    FleetMemory memory;
    memory.update({own, addresses(0, 10), addresses(0, 4)}, start);
    memory.update({own, addresses(0, 10), addresses(0, 4)}, start + 4s);
    CHECK(memory.rankFor(endpoint));
    memory.update({own, {own}, addresses(0, 4)}, start + 4min);
    CHECK(memory.rankFor(endpoint));
    memory.update({own, {own}, addresses(0, 4)}, start + 10min);
    CHECK_FALSE(memory.rankFor(endpoint));
    memory.update({own, addresses(0, 10), addresses(0, 4)}, start + 11min);
    CHECK_FALSE(memory.rankFor(endpoint));
    memory.update({own, addresses(0, 10), addresses(0, 4)}, start + 11min + 4s);
    CHECK(memory.rankFor(endpoint));
}
