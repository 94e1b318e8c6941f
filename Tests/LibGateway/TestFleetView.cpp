#include "LibGateway/FleetView.h"
#include "LibGateway/PeerReportAggregator.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

FleetMember member(int number)
{
    return {"entry-" + std::to_string(number), "10.0.0." + std::to_string(number) + ":7000", 250};
}
} // namespace

TEST_CASE("Views that share one member converge", "[fleet]")
{
    // Many processes are killed at once and restart; groups of instances that chose different hubs stayed partitioned.
    FleetView first(5s);
    FleetView second(5s);
    first.refresh({member(1), member(2), member(3)}, start);
    second.refresh({member(3), member(4), member(5)}, start);
    second.refresh(first.members(), start);
    first.refresh(second.members(), start);
    CHECK(first.members() == second.members());
    CHECK(first.members().size() == 5);
    CHECK(chooseHubs(first.members(), {}) == chooseHubs(second.members(), {}));
}

TEST_CASE("A member is removed by the membership timeout, not by its absence from a message", "[fleet]")
{
    FleetView view(5s);
    view.refresh({member(1), member(2), member(3)}, start);
    view.refresh({member(1)}, start + 4s);
    view.expire(start + 4s);
    CHECK(view.members().size() == 3);
    view.expire(start + 6s);
    CHECK(view.members().size() == 1);
}
