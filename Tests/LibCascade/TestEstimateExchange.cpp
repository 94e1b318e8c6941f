#include "LibCascade/QualityEstimates.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace Godwitfork;

namespace
{
const std::vector<std::string> instanceNames = {"a", "b", "c"};

EstimateKey keyFor(int number)
{
    return {"account" + std::to_string(number % 2), "class", "cheap", "cheap", number % confidenceBinCount};
}

/// Three instances that record ratings, exchange messages that may be lost, delayed or repeated, and fold segments into a stored object.
struct Network {
    std::vector<QualityEstimates> instances;
    std::vector<EstimateState> sent;
    EstimateState stored;
    EstimateSums expected;
};

Network runNetwork(int steps)
{
    Network network;
    for (const std::string &name : instanceNames) {
        network.instances.emplace_back(name);
    }
    for (int i = 0; i < steps; ++i) {
        const auto index = *rc::gen::inRange<std::size_t>(0, 3);
        QualityEstimates &instance = network.instances[index];
        const int action = *rc::gen::inRange(0, 6);
        if (action <= 1) {
            const EstimateKey key = keyFor(*rc::gen::inRange(0, 20));
            const int rating = *rc::gen::inRange(0, 1000001);
            instance.recordRating(key, rating / 1e6);
            RatingSums &sums = network.expected[key];
            sums = sumOf(sums, {0, 1, rating});
        } else if (action == 2) {
            instance.closeSegment();
        } else if (action == 3) {
            network.sent.push_back(instance.state());
        } else if (action == 4 && !network.sent.empty()) {
            instance.mergeFrom(network.sent[*rc::gen::inRange<std::size_t>(0, network.sent.size())]);
        } else if (action == 5 && instance.state().epoch == network.stored.epoch) {
            network.stored = fold(instance.state(), {});
            instance.mergeFrom(network.stored);
        }
    }
    return network;
}

EstimateState mergedOf(EstimateState left, const EstimateState &right)
{
    merge(left, right);
    return left;
}
} // namespace

// Guards against sums that are lost or counted twice because gossip loses, delays or repeats messages.
TEST_CASE("Totals are exact after any sequence of lost, delayed and repeated messages")
{
    CHECK(rc::check([] {
        Network network = runNetwork(*rc::gen::inRange(0, 80));
        EstimateState all = network.stored;
        for (const QualityEstimates &instance : network.instances) {
            merge(all, instance.state());
        }
        RC_ASSERT(totalsOf(all) == network.expected);
        for (QualityEstimates &instance : network.instances) {
            instance.mergeFrom(all);
            RC_ASSERT(totalsOf(instance.state()) == network.expected);
        }
    }));
}

// Guards against sums that depend on the order or the number of messages.
TEST_CASE("Merging estimates is commutative, associative and idempotent")
{
    CHECK(rc::check([] {
        const Network network = runNetwork(*rc::gen::inRange(0, 80));
        const EstimateState &a = network.instances[0].state();
        const EstimateState &b = network.instances[1].state();
        const EstimateState &c = network.instances[2].state();
        RC_ASSERT(mergedOf(a, b) == mergedOf(b, a));
        RC_ASSERT(mergedOf(mergedOf(a, b), c) == mergedOf(a, mergedOf(b, c)));
        RC_ASSERT(mergedOf(mergedOf(a, b), b) == mergedOf(a, b));
    }));
}

// Guards against lost sums of an instance that was considered dead, and its segments folded, while it was only paused.
TEST_CASE("An instance whose segments were folded as those of a dead one continues in a new segment")
{
    QualityEstimates instance("a");
    instance.recordRating(keyFor(1), 0.5);
    instance.mergeFrom(fold(instance.state(), {"a"}));
    instance.recordRating(keyFor(1), 0.25);
    CHECK(totalsOf(instance.state())[keyFor(1)] == RatingSums {0, 2, 750000});
    EstimateState other;
    merge(other, instance.state());
    CHECK(totalsOf(other)[keyFor(1)].ratings == 2);
}

// Guards against instances that, after all of them were replaced, start from other sums than the stored ones.
TEST_CASE("The stored object round-trips the folded state, and malformed objects are refused")
{
    QualityEstimates instance("a");
    instance.recordAnswer("account", "class", "cheap", 3);
    instance.recordRating(keyFor(3), 0.7);
    instance.closeSegment();
    const EstimateState folded = fold(instance.state(), {});
    CHECK(fromStoredJson(toStoredJson(folded)).value() == folded);
    CHECK(fromStoredJson("{\"epoch\": 1}").error().code == "invalid_estimates");
    CHECK(fromStoredJson("[").error().code == "invalid_estimates");
}
