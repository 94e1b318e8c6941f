#include "LibGateway/FleetView.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

FleetMember member(int number)
{
    return {"entry-" + std::to_string(number), "10.0.0." + std::to_string(number) + ":7000", 250, "north"};
}
} // namespace

TEST_CASE("Views that share one member converge", "[fleet]")
{
    // Many processes are killed at once and restart; groups of instances that chose different hubs stayed partitioned.
    FleetView first(5s);
    FleetView second(5s);
    for (int i = 1; i <= 3; ++i) {
        first.record(member(i), start);
        second.record(member(i + 2), start);
    }
    second.merge(first.sightings(start), start);
    first.merge(second.sightings(start), start);
    CHECK(first.members() == second.members());
    CHECK(first.members().size() == 5);
}

TEST_CASE("A member is removed by the membership timeout, not by its absence from a message", "[fleet]")
{
    FleetView view(5s);
    view.merge({{member(1), 0s}, {member(2), 0s}, {member(3), 0s}}, start);
    view.merge({{member(1), 0s}}, start + 4s);
    view.expire(start + 4s);
    CHECK(view.members().size() == 3);
    view.expire(start + 6s);
    CHECK(view.members().size() == 1);
}

TEST_CASE("Instances that tell each other of a member that has ended do not keep it", "[fleet]")
{
    // Each message that lists a member would renew it if the message did not say when the member was heard.
    FleetView first(5s);
    FleetView second(5s);
    first.record(member(1), start);
    for (int i = 0; i < 12; ++i) {
        const MonotonicTime now = start + 500ms * i;
        second.merge(first.sightings(now), now);
        first.merge(second.sightings(now), now);
        first.confirmExcept(second.overdue(now), second.oldestInTime(now), now);
        first.expire(now);
        second.expire(now);
    }
    CHECK(first.members().empty());
    CHECK(second.members().empty());
}

TEST_CASE("A member that is known by another address list keeps its newest properties", "[fleet]")
{
    FleetView view(5s);
    FleetMember larger = member(1);
    larger.capacity = 500;
    view.record(larger, start + 1s);
    view.merge({{member(1), 2s}}, start + 2s);
    CHECK(view.members().front().capacity == 500);
}

TEST_CASE("A member that has stopped does not make the others look stopped", "[fleet]")
{
    // A hub gave one bound for all members: five seconds after any of them had stopped, its followers dropped all members at once.
    FleetView hub(5s);
    FleetView follower(5s);
    for (int i = 1; i <= 3; ++i) {
        hub.record(member(i), start);
        follower.record(member(i), start);
    }
    for (int i = 0; i < 16; ++i) {
        const MonotonicTime now = start + 500ms * i;
        hub.record(member(1), now);
        hub.record(member(2), now);
        follower.merge(hub.overdue(now), now);
        follower.confirmExcept(hub.overdue(now), hub.oldestInTime(now), now);
        hub.expire(now);
        follower.expire(now);
        CHECK(follower.members().size() >= 2);
    }
    CHECK(hub.members().size() == 2);
    CHECK(follower.members() == hub.members());
}
