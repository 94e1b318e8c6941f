#include "LibColdStart/ColdShare.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const ColdRule rule {5.2, 3s, 1.5, 5};
} // namespace

TEST_CASE("The allowance of a cold endpoint is shared by a few instances and never exceeded by the sum of the shares", "[share]")
{
    // Guards against FAILBACK: shares that are rounded up add up to more than the allowance in a fleet that does not divide it.
    CHECK(coldAllowance(rule) == 5);
    CHECK(coldAllowance({6.3, 3s, 1.5, 5}) == 5);
    for (const int allowance : {1, 2, 5, 17, 80}) {
        for (const int instances : {1, 2, 3, 4, 9, 62, 330}) {
            int sum = 0;
            for (int rank = 0; rank < instances; ++rank) {
                sum += instanceAllowance(allowance, rank, instances);
            }
            INFO(allowance << " " << instances);
            CHECK(sum == allowance);
        }
    }
}

TEST_CASE("A rate so low that the allowance rounds to nothing still admits one request", "[share]")
{
    // Guards against RECOVER: a suspect endpoint that gets no request at all can't show that it is up again.
    CHECK(coldAllowance({0.1, 3s, 1, 0}) == 1);
    CHECK_FALSE(isBounded({0, 3s, 1.5, 5}));
}

TEST_CASE("In slow start the instances follow in the order of their ranks and each has an allowance from its entry on", "[share]")
{
    // Guards against a herd at the end of the cold time, and against a Retry-After at which there is still no room.
    Duration previous = Duration::zero();
    for (int rank = 0; rank < 330; ++rank) {
        const Duration entry = slowStartEntry(rule, rank);
        CHECK(entry >= previous);
        CHECK(entry <= slowStartTime);
        if (entry < slowStartTime) {
            CHECK(instanceAllowance(slowStartAllowance(rule, entry), rank, 330) > 0);
        }
        if (entry > Duration(1) && entry < slowStartTime) {
            CHECK(instanceAllowance(slowStartAllowance(rule, entry - 2us), rank, 330) == 0);
        }
        previous = entry;
    }
    CHECK(slowStartAllowance(rule, 0s) == coldAllowance(rule));
    CHECK(slowStartAllowance(rule, 500ms) == 2 * coldAllowance(rule));
    CHECK(slowStartAllowance(rule, 1h) == 16 * coldAllowance(rule));
}
