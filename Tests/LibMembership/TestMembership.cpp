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

/// Delivers messages among instances without delay, including the replies, until none is left.
void deliver(std::map<std::string, Membership> &instances, const std::string &sender, OutgoingMessages messages, RandomSource &random, MonotonicTime now)
{
    for (const OutgoingMessage &outgoing : messages) {
        const auto receiver = instances.find(outgoing.receiver);
        if (receiver != instances.end()) {
            deliver(instances, outgoing.receiver, receiver->second.receive(sender, outgoing.message, random, now), random, now);
        }
    }
}

std::map<std::string, Membership> makeCluster(const std::vector<std::string> &names, RandomSource &random)
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

// Guards against a store outage that makes all instances refuse requests, and against a minority that is partitioned from the
// rest and continues to admit requests.
TEST_CASE("During a store outage a majority admits requests and a minority refuses them")
{
    RandomSource random(1);
    auto cluster = makeCluster({"a", "b", "c", "d", "e"}, random);
    runGossip(cluster, random, start, start + 20s);
    for (auto &[name, instance] : cluster) {
        CHECK(instance.mayAdmit(start + 20s));
        CHECK_FALSE(instance.lease().isStoreReachable(start + 20s));
    }
    std::map<std::string, Membership> minority;
    minority.insert(cluster.extract("a"));
    minority.insert(cluster.extract("b"));
    runGossip(cluster, random, start + 20s, start + 30s);
    runGossip(minority, random, start + 20s, start + 25s);
    CHECK(cluster.at("c").mayAdmit(start + 30s));
    CHECK_FALSE(minority.at("a").mayAdmit(start + 25s));
    CHECK(cluster.at("c").members().stateOf("a", start + 30s) == MemberState::Dead);
    minority.at("a").takeFromStore(1, "one", start + 30s, random, start + 30s);
    runGossip(minority, random, start + 30s, start + 32s);
    CHECK(minority.at("b").mayAdmit(start + 32s));
}

// Guards against a revision that does not spread beyond the instance that read it from the store, and against an instance that
// reverts to an older revision.
TEST_CASE("A new revision spreads to all instances and is not replaced by an older one")
{
    RandomSource random(2);
    auto cluster = makeCluster({"a", "b", "c", "d", "e", "f", "g"}, random);
    runGossip(cluster, random, start, start + 2s);
    deliver(cluster, "a", cluster.at("a").takeFromStore(2, "two", start + 2s, random, start + 2s), random, start + 2s);
    runGossip(cluster, random, start + 2s, start + 4s);
    Acceptance acceptance = trackStored(2, start + 2s);
    for (auto &[name, instance] : cluster) {
        CHECK(instance.configuration() == "two");
        instance.receive("x", ConfigurationReply {1, "one"}, random, start + 4s);
        CHECK(instance.revision() == 2);
    }
    const MemberTable &members = cluster.at("a").members();
    acceptance = advance(acceptance, members.storeListMembers(), members.holderNames(), 4s, start + 4s);
    CHECK(acceptance.missing.empty());
    CHECK(acceptance.inForce == start + 4s);
}

// Guards against reporting a revision as in force while an instance that has not reported it may still have a lease on an older
// revision.
TEST_CASE("A revision that one instance has not reported is in force one lease after its acceptance")
{
    const std::vector<std::string> listed {"a", "b", "c"};
    Acceptance acceptance = advance(trackStored(7, start), listed, {"a"}, 4s, start + 1s);
    CHECK_FALSE(acceptance.accepted);
    acceptance = advance(acceptance, listed, {"a", "b"}, 4s, start + 2s);
    CHECK(acceptance.accepted == start + 2s);
    CHECK(acceptance.missing == std::vector<std::string> {"c"});
    acceptance = advance(acceptance, listed, {"a", "b"}, 4s, start + 6s);
    CHECK_FALSE(acceptance.inForce);
    acceptance = advance(acceptance, listed, {"a", "b"}, 4s, start + 6s + 1ms);
    CHECK(acceptance.inForce);
}

// Guards against a heartbeat or response of the store that a frozen connection delivers late and that renews the lease as if it
// were new.
TEST_CASE("Responses and heartbeats of the store that arrive late do not renew the lease")
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

// Guards against a message that a frozen link delivers late and that makes a dead member appear alive.
TEST_CASE("The delay of a gossip message is added to its ages")
{
    RandomSource random(3);
    auto cluster = makeCluster({"a", "b", "c"}, random);
    runGossip(cluster, random, start, start + 1s);
    const OutgoingMessages delayed = cluster.at("b").gossip(random, start + 1s);
    for (const OutgoingMessage &outgoing : delayed) {
        cluster.at(outgoing.receiver).receive("b", outgoing.message, random, start + 8s);
    }
    CHECK(cluster.at("a").members().stateOf("b", start + 8s) == MemberState::Dead);
    CHECK_FALSE(cluster.at("a").mayAdmit(start + 8s));
}

// Guards against member lists that do not converge, and against a stopped instance that peers add again.
TEST_CASE("Members join by gossip and are not added again after they leave")
{
    RandomSource random(4);
    auto cluster = makeCluster({"a", "b", "c"}, random);
    cluster.emplace("d", Membership(member("d"), {}));
    cluster.at("d").takeMemberList({member("a"), member("b"), member("c"), member("d")}, start);
    runGossip(cluster, random, start, start + 3s);
    CHECK(cluster.at("a").members().members().size() == 4);
    CHECK(cluster.at("a").members().listHash() == cluster.at("d").members().listHash());
    cluster.erase("d");
    cluster.at("a").receive("d", Leaving {"d"}, random, start + 3s);
    runGossip(cluster, random, start + 3s, start + 6s);
    CHECK(cluster.at("a").members().members().size() == 3);
    CHECK(cluster.at("a").members().stateOf("b", start + 6s) == MemberState::Alive);
}
