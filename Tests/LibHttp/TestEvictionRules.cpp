#include "LibHttp/DescriptorShares.h"
#include "LibHttp/EvictionRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start = MonotonicTime() + 1h;

EvictionCandidate candidate(ConnectionPhase phase, Duration age, double rate, std::size_t held)
{
    EvictionCandidate made;
    made.phase = phase;
    made.since = start - age;
    made.recentBytesPerSecond = rate;
    made.heldBytes = held;
    return made;
}
} // namespace

// Guards against a client that sends most of a body at once, stops, and still counts as fast.
TEST_CASE("Progress is what arrived within about the last half second", "[eviction]")
{
    ReceiveProgress progress;
    progress.begin(start);
    progress.add(1'000'000, start + 10ms);
    CHECK(progress.recentBytesPerSecond(start + 100ms) > 100'000);
    CHECK(progress.recentBytesPerSecond(start + 1s) == Approx(0));
    CHECK(progress.recentBytesPerSecond(start + 1h) == Approx(0));
    for (int i = 0; i < 100; ++i) {
        progress.add(1000, start + 2s + i * 10ms);
    }
    CHECK(progress.recentBytesPerSecond(start + 3s) == Approx(100'000).epsilon(0.1));
    CHECK(progress.receivedBytes() == 1'100'000);
}

// Guards against a limit that refuses callers within the limits, and against one that a trickle of bytes evades.
TEST_CASE("A request is too slow only after the grace time and below the rate", "[eviction]")
{
    ProgressLimits limits;
    limits.grace = 2s;
    limits.bytesPerSecond = 1000;
    ReceiveProgress progress;
    progress.begin(start);
    progress.add(100, start);
    CHECK_FALSE(isTooSlow(progress, limits, start + 2s));
    CHECK_FALSE(isTooSlow(progress, limits, start + 2100ms));
    CHECK(isTooSlow(progress, limits, start + 2200ms));
    progress.add(1000, start + 2200ms);
    CHECK_FALSE(isTooSlow(progress, limits, start + 3s));
    for (int i = 0; i < 100; ++i) {
        progress.add(1, start + 3s + i * 10ms);
    }
    CHECK(isTooSlow(progress, limits, start + 4s));
    limits.bytesPerSecond = 0;
    CHECK_FALSE(isTooSlow(progress, limits, start + 1h));
}

TEST_CASE("The request with the least progress goes first, then refused clients, then idle connections", "[eviction]")
{
    std::vector<EvictionCandidate> candidates = {candidate(ConnectionPhase::Serving, 10s, 0, 5'000'000),
                                                 candidate(ConnectionPhase::Idle, 20s, 0, 10'000),
                                                 candidate(ConnectionPhase::Idle, 10s, 0, 10'000),
                                                 candidate(ConnectionPhase::Closing, 1s, 0, 10'000),
                                                 candidate(ConnectionPhase::Receiving, 2s, 500, 4'000'000),
                                                 candidate(ConnectionPhase::Receiving, 2s, 0, 1'000'000),
                                                 candidate(ConnectionPhase::Receiving, 2s, 0, 4'000'000),
                                                 candidate(ConnectionPhase::Receiving, 100ms, 0, 4'000'000),
                                                 candidate(ConnectionPhase::Receiving, 2s, 1'000'000, 4'000'000)};
    for (const std::size_t expected : {6U, 5U, 4U, 3U, 1U, 2U}) {
        const auto chosen = chooseEviction(candidates, start);
        REQUIRE(chosen);
        CHECK(*chosen == expected);
        candidates[*chosen].phase = ConnectionPhase::Serving;
    }
    CHECK_FALSE(chooseEviction(candidates, start));
}

// Guards against an eviction of a request that runs, of which nothing is known to its caller.
TEST_CASE("A request that is served, young or fast is never evicted", "[eviction]")
{
    rc::check([] {
        std::vector<EvictionCandidate> candidates;
        const int count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            const auto phase = *rc::gen::element(ConnectionPhase::Idle, ConnectionPhase::Receiving, ConnectionPhase::Serving, ConnectionPhase::Closing);
            const auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            candidates.push_back(candidate(phase, age, *rc::gen::inRange(0, 100'000), static_cast<std::size_t>(*rc::gen::inRange(0, 1000))));
        }
        const auto chosen = chooseEviction(candidates, start);
        for (const EvictionCandidate &other : candidates) {
            if (chosen && other.phase == ConnectionPhase::Receiving && start - other.since >= 1s && other.recentBytesPerSecond < 1000) {
                RC_ASSERT(candidates[*chosen].phase == ConnectionPhase::Receiving);
                RC_ASSERT(candidates[*chosen].recentBytesPerSecond <= other.recentBytesPerSecond);
            }
        }
        if (chosen) {
            RC_ASSERT(candidates[*chosen].phase != ConnectionPhase::Serving);
            RC_ASSERT(start - candidates[*chosen].since >= 500ms);
        }
    });
}

// Guards against callers whose connections leave no descriptor for the connections to endpoints and the store.
TEST_CASE("The listeners' shares leave descriptors for the process, and a hub has room for its domain", "[eviction]")
{
    for (const int descriptors : {256, 512, 1024, 3075, 10'250, 1'000'000}) {
        const DescriptorShares shares = descriptorShares(descriptors);
        INFO(descriptors << ": callers " << shares.callers << ", peers " << shares.peers << ", others " << shares.others);
        CHECK(shares.callers >= 16);
        CHECK(2 * shares.callers + shares.peers + 2 * shares.others + 64 <= descriptors);
    }
    // 110 instances of a domain with a report and relays of four kinds each.
    CHECK(descriptorShares(3075).peers >= 110 * 5);
    CHECK(descriptorShares(3075).callers >= 1000);
    CHECK(descriptorLimit() > 0);
}
