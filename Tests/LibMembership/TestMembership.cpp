#include "LibMembership/Acceptance.h"
#include "LibMembership/Membership.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1h};

PeerMember member(const std::string &name)
{
    return {name, "instance-" + name, "north", "127.0.0.1:1"};
}

/// Delivers messages among instances at once until none is left.
void deliver(std::map<std::string, Membership> &instances, const std::string &sender, OutgoingMessages messages, RandomSource &random, MonotonicTime now)
{
    for (const OutgoingMessage &outgoing : messages) {
        const auto receiver = instances.find(outgoing.receiver);
        if (receiver != instances.end()) {
            deliver(instances, outgoing.receiver, receiver->second.receive(sender, outgoing.message, random, now), random, now);
        }
    }
}

std::map<std::string, Membership> makeFleet(const std::vector<std::string> &names, RandomSource &random)
{
    std::map<std::string, Membership> instances;
    std::vector<PeerMember> list;
    for (const std::string &name : names) {
        list.push_back(member(name));
        instances.emplace(name, Membership(member(name), {}));
    }
    for (auto &[name, instance] : instances) {
        instance.takeMemberList(list, start);
        instance.takeFromStore(1, "one", start, random, start);
    }
    return instances;
}

void runGossip(std::map<std::string, Membership> &instances, RandomSource &random, MonotonicTime from, MonotonicTime until)
{
    for (MonotonicTime now = from; now < until; now += 500ms) {
        for (auto &[name, instance] : instances) {
            deliver(instances, name, instance.gossip(random, now), random, now);
        }
    }
}
} // namespace

// Guards against an outage of the store that stops the service, and against a group of at most half that goes on alone.
TEST_CASE("A majority outlasts a store outage and a minority refuses")
{
    RandomSource random(1);
    auto fleet = makeFleet({"a", "b", "c", "d", "e"}, random);
    runGossip(fleet, random, start, start + 20s);
    for (auto &[name, instance] : fleet) {
        CHECK(instance.mayAdmit(start + 20s));
        CHECK_FALSE(instance.lease().isStoreReachable(start + 20s));
    }
    std::map<std::string, Membership> minority;
    minority.insert(fleet.extract("a"));
    minority.insert(fleet.extract("b"));
    runGossip(fleet, random, start + 20s, start + 30s);
    runGossip(minority, random, start + 20s, start + 25s);
    CHECK(fleet.at("c").mayAdmit(start + 30s));
    CHECK_FALSE(minority.at("a").mayAdmit(start + 25s));
    CHECK(fleet.at("c").members().stateOf("a", start + 30s) == MemberState::Dead);
    minority.at("a").takeFromStore(1, "one", start + 30s, random, start + 30s);
    runGossip(minority, random, start + 30s, start + 32s);
    CHECK(minority.at("b").mayAdmit(start + 32s));
}

// Guards against a revision that stays with the instance that read it, and against a return to an older one.
TEST_CASE("A new revision reaches all instances at once and no older one replaces it")
{
    RandomSource random(2);
    auto fleet = makeFleet({"a", "b", "c", "d", "e", "f", "g"}, random);
    runGossip(fleet, random, start, start + 2s);
    deliver(fleet, "a", fleet.at("a").takeFromStore(2, "two", start + 2s, random, start + 2s), random, start + 2s);
    runGossip(fleet, random, start + 2s, start + 4s);
    Acceptance acceptance = trackStored(2, start + 2s);
    for (auto &[name, instance] : fleet) {
        CHECK(instance.configuration() == "two");
        instance.receive("x", ConfigurationReply {1, "one"}, random, start + 4s);
        CHECK(instance.revision() == 2);
    }
    const MemberTable &members = fleet.at("a").members();
    acceptance = advance(acceptance, members.countedMembers(), members.holderNames(), 4s, start + 4s);
    CHECK(acceptance.missing.empty());
    CHECK(acceptance.inForce == start + 4s);
}

// Guards against a report that calls a revision in force while a silent instance may still hold a lease on the old one.
TEST_CASE("A silent instance delays the report by its lease")
{
    const std::vector<std::string> counted {"a", "b", "c"};
    Acceptance acceptance = advance(trackStored(7, start), counted, {"a"}, 4s, start + 1s);
    CHECK_FALSE(acceptance.accepted);
    acceptance = advance(acceptance, counted, {"a", "b"}, 4s, start + 2s);
    CHECK(acceptance.accepted == start + 2s);
    CHECK(acceptance.missing == std::vector<std::string> {"c"});
    acceptance = advance(acceptance, counted, {"a", "b"}, 4s, start + 6s);
    CHECK_FALSE(acceptance.inForce);
    acceptance = advance(acceptance, counted, {"a", "b"}, 4s, start + 6s + 1ms);
    CHECK(acceptance.inForce);
}

// Guards against a heartbeat or an answer that a frozen connection delivers late and that then renews the lease.
TEST_CASE("Late answers of the store do not renew the lease")
{
    ConfigurationLease lease({});
    lease.adopt(1);
    CHECK_FALSE(lease.mayAdmit(start));
    lease.confirmByStore(1, start);
    CHECK(lease.mayAdmit(start + 4s));
    lease.confirmByStore(1, start + 1s);
    CHECK_FALSE(lease.mayAdmit(start + 5s + 1ms));
    lease.confirmByHeartbeat(1, start, 3);
    CHECK(lease.mayAdmit(start + 6s));
    CHECK_FALSE(lease.mayAdmit(start + 7s));
    lease.confirmByStore(2, start + 20s);
    CHECK_FALSE(lease.mayAdmit(start + 20s));
}

// Guards against a message that a frozen link delivers late and that then makes a dead member look alive.
TEST_CASE("The delay of a gossip message is added to its ages")
{
    RandomSource random(3);
    auto fleet = makeFleet({"a", "b", "c"}, random);
    runGossip(fleet, random, start, start + 1s);
    const OutgoingMessages delayed = fleet.at("b").gossip(random, start + 1s);
    for (const OutgoingMessage &outgoing : delayed) {
        fleet.at(outgoing.receiver).receive("b", outgoing.message, random, start + 8s);
    }
    CHECK(fleet.at("a").members().stateOf("b", start + 8s) == MemberState::Dead);
    CHECK_FALSE(fleet.at("a").mayAdmit(start + 8s));
}

// Guards against a member list that never settles, and against a stopped instance that peers bring back.
TEST_CASE("Members join by gossip and leave for good")
{
    RandomSource random(4);
    auto fleet = makeFleet({"a", "b", "c"}, random);
    fleet.emplace("d", Membership(member("d"), {}));
    fleet.at("d").takeMemberList({member("a"), member("b"), member("c"), member("d")}, start);
    runGossip(fleet, random, start, start + 3s);
    CHECK(fleet.at("a").members().members().size() == 4);
    CHECK(fleet.at("a").members().listHash() == fleet.at("d").members().listHash());
    fleet.erase("d");
    fleet.at("a").receive("d", Leaving {"d"}, random, start + 3s);
    runGossip(fleet, random, start + 3s, start + 6s);
    CHECK(fleet.at("a").members().members().size() == 3);
    CHECK(fleet.at("a").members().stateOf("b", start + 6s) == MemberState::Alive);
}
