#include "LibCapacity/CapacityEstimate.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

/// Records an observation in each 250 ms up to `end`; returns `end`.
MonotonicTime observe(CapacityEstimate &estimate, double relativeTime, MonotonicTime from, Duration length, double serviceSlowdown = 1)
{
    for (MonotonicTime now = from; now < from + length; now += 250ms) {
        const Duration expected = 80ms;
        estimate.record({std::chrono::duration_cast<Duration>(expected * relativeTime * serviceSlowdown), expected, serviceSlowdown}, now);
    }
    return from + length;
}
} // namespace

TEST_CASE("An endpoint without evidence has its service's mean speed", "[capacity]")
{
    CHECK(CapacityEstimate().relativeTime(start) == 1);
}

TEST_CASE("A slow endpoint and a change of its speed are recognised within seconds", "[capacity]")
{
    // Weights that are fixed, or follow a day's mean, leave a fast endpoint idle and a slow one with a queue after each change.
    CapacityEstimate estimate;
    MonotonicTime now = observe(estimate, 1.7, start, 20s);
    CHECK(estimate.relativeTime(now) == Approx(1.7).epsilon(0.1));
    now = observe(estimate, 0.7, now, 12s);
    CHECK(estimate.relativeTime(now) < 1.1);
    now = observe(estimate, 0.7, now, 20s);
    CHECK(estimate.relativeTime(now) == Approx(0.7).epsilon(0.1));
}

TEST_CASE("Load that all endpoints have in common makes none of them slow", "[capacity]")
{
    // At a load peak all queues are longer than expected; an estimate that followed would send requests away from the endpoints that had some.
    CapacityEstimate estimate;
    const MonotonicTime now = observe(estimate, 1, start, 10s, 6);
    CHECK(estimate.relativeTime(now) == Approx(1).epsilon(0.01));
}

TEST_CASE("One slow request does not make an endpoint slow", "[capacity]")
{
    CapacityEstimate estimate;
    const MonotonicTime now = observe(estimate, 1, start, 5s);
    estimate.record({20s, 80ms, 1}, now);
    CHECK(estimate.relativeTime(now) < 1.25);
}

TEST_CASE("An endpoint that seemed slow is tried again without new evidence", "[capacity]")
{
    // An endpoint that gets no requests cannot be observed, so its estimate has to return to the mean by itself.
    CapacityEstimate estimate;
    const MonotonicTime now = observe(estimate, 5, start, 20s);
    CHECK(estimate.relativeTime(now) > 4);
    CHECK(estimate.relativeTime(now + 60s) < 1.2);
}

TEST_CASE("The evidence of other instances counts like own evidence and decays without newer summaries", "[capacity]")
{
    // At 76 instances and 60 endpoints an instance sends to an endpoint once in 19 s, so its own evidence tells nothing. Reports carry evidence of a few
    // seconds only, so the receiver has to keep it.
    CapacityEstimate other;
    CapacityEstimate estimate;
    MonotonicTime now = start;
    for (int i = 0; i < 50; ++i) {
        now = observe(other, 1.7, now, 500ms);
        estimate.addPeerEvidence(other.ownEvidence(now), now);
    }
    CHECK(estimate.relativeTime(now) == Approx(other.relativeTime(now)).epsilon(0.02));
    CHECK(estimate.evidenceSeconds(now) == Approx(other.evidenceSeconds(now)).epsilon(0.2));
    CHECK(estimate.relativeTime(now + 5s) > 1.5);
    CHECK(estimate.relativeTime(now + 60s) < 1.1);
    // A summary without evidence, or the same one again at once, changes nothing.
    const double before = estimate.relativeTime(now);
    estimate.addPeerEvidence({}, now);
    estimate.addPeerEvidence({5, 1}, now);
    CHECK(estimate.relativeTime(now) == Approx(before));
    CHECK(other.ownEvidence(now + 60s) == ObservationSum());
}

TEST_CASE("The first summary after a start or a pause counts as evidence", "[capacity]")
{
    CapacityEstimate estimate;
    estimate.addPeerEvidence({1.7 * 2, 2}, start);
    CHECK(estimate.evidenceSeconds(start) == Approx(2));
    estimate.addPeerEvidence({1.7 * 2, 2}, start + 100s);
    CHECK(estimate.evidenceSeconds(start + 100s) == Approx(2).epsilon(0.01));
}
