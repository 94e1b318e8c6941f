#include "LibCapacity/LoadSpread.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("The level is the cost that all used endpoints reach", "[spread]")
{
    const std::vector<EndpointCost> endpoints {{1, 1}, {2, 0.5}, {10, 1}};
    CHECK(costLevel(endpoints, 0) == Approx(1));
    CHECK(costLevel(endpoints, 0.5) == Approx(1.5));
    // One request raises the first to 2; of the other six, two thirds go to the second.
    CHECK(costLevel(endpoints, 7) == Approx(4));
    CHECK(costLevel({}, 7) == 0);
}

TEST_CASE("Instances with the same view spread their requests in proportion to what the endpoints can take", "[spread]")
{
    // All instances saw the same short queue and sent their requests there until the next summary: at 76 instances the 99th percentile was
    // four times that of round robin.
    const std::vector<EndpointCost> endpoints {{1, 1}, {2, 0.5}, {10, 1}};
    RandomSource random(1);
    std::vector<int> drawn(3);
    for (int i = 0; i < 7000; ++i) {
        ++drawn[drawEndpoint(endpoints, costLevel(endpoints, 7), random)];
    }
    CHECK(drawn[0] == Approx(3000).epsilon(0.05));
    CHECK(drawn[1] == Approx(4000).epsilon(0.05));
    CHECK(drawn[2] == 0);
    // Without other requests the cheapest endpoint is the best.
    CHECK(drawEndpoint(endpoints, costLevel(endpoints, 0), random) == 0);
}
