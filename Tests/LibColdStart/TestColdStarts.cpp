#include "LibColdStart/ColdStarts.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};
const ColdRule rule {5.2, 3s, 1.5, 5};
const std::string endpoint = "i-1";

/// The only instance of a fleet.
ColdStarts single()
{
    ColdStarts starts;
    starts.updateFleet({"10.0.0.1:90", {}, {}}, start);
    return starts;
}

int sendAll(ColdStarts &starts, MonotonicTime now)
{
    int sent = 0;
    while (sent < 100 && starts.timeToRequest(endpoint, rule, now) == Duration::zero()) {
        starts.recordRequest(endpoint, now);
        ++sent;
    }
    return sent;
}
} // namespace

TEST_CASE("A cold endpoint gets its allowance in any window, and the time to the next request has room", "[cold]")
{
    // Guards against FAILBACK, and against a Retry-After at which there is still no room.
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 3s}, start);
    CHECK(starts.phase(endpoint, rule, start) == ColdPhase::Cold);
    CHECK(sendAll(starts, start) == 5);
    const Duration wait = starts.timeToRequest(endpoint, rule, start + 200ms);
    CHECK(wait == coldWindow - 200ms);
    CHECK(sendAll(starts, start + 200ms + wait - 1ms) == 0);
    CHECK(sendAll(starts, start + 200ms + wait) == 5);
}

TEST_CASE("A registration that is read again does not extend the cold time, and one that is renewed does", "[cold]")
{
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 3s}, start);
    starts.recordEntry(endpoint, {1, 1, 3s}, start + 2s);
    CHECK(starts.phase(endpoint, rule, start + 3s) == ColdPhase::SlowStart);
    starts.recordEntry(endpoint, {1, 2, 3s}, start + 2s);
    CHECK(starts.phase(endpoint, rule, start + 3s) == ColdPhase::Cold);
    starts.recordEntry(endpoint, {1, 3, 0s}, start + 4s);
    CHECK(starts.phase(endpoint, rule, start + 4s) == ColdPhase::SlowStart);
    CHECK(starts.phase(endpoint, rule, start + 4s + slowStartTime) == ColdPhase::Warm);
    CHECK(sendAll(starts, start + 4s + slowStartTime) == 100);
}

TEST_CASE("A registration that is older than the known one does not end the cold time", "[cold]")
{
    // Guards against FAILBACK: an older warm entry that arrived late made a cold endpoint count as warm.
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {2, 5, 3s}, start);
    starts.recordEntry(endpoint, {2, 4, 0s}, start + 1s);
    CHECK(starts.phase(endpoint, rule, start + 1s) == ColdPhase::Cold);
    starts.recordEntry(endpoint, {1, 9, 0s}, start + 1s);
    CHECK(starts.phase(endpoint, rule, start + 1s) == ColdPhase::Cold);
    starts.recordEntry(endpoint, {2, 4, 3s}, start + 2s);
    CHECK(starts.phase(endpoint, rule, start + 3s) == ColdPhase::SlowStart);
    // An endpoint whose clock was set back may restart with a smaller incarnation, and is cold then.
    starts.recordEntry(endpoint, {1, 1, 3s}, start + 10s);
    CHECK(starts.phase(endpoint, rule, start + 10s) == ColdPhase::Cold);
}

TEST_CASE("An endpoint that turns cold while requests are on their way gets none for a window", "[cold]")
{
    // Guards against FAILBACK: instances that have not received the entry yet send on, beside the shares.
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 0s}, start);
    CHECK(sendAll(starts, start) == 100);
    const bool isRestarted = GENERATE(true, false);
    starts.recordEntry(endpoint, {isRestarted ? 2 : 1, 2, 3s}, start + 5s);
    CHECK(starts.timeToRequest(endpoint, rule, start + 5s) == coldWindow);
    CHECK(sendAll(starts, start + 5s + coldWindow) == 5);
}

TEST_CASE("An endpoint whose first registration says that it is warm is not bounded", "[cold]")
{
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 0s}, start);
    CHECK(starts.phase(endpoint, rule, start) == ColdPhase::Warm);
    CHECK(sendAll(starts, start) == 100);
    CHECK(starts.timeToRequest("unknown", rule, start) == Duration::zero());
}

TEST_CASE("A lost endpoint gets requests at the cold rate until the store has a newer entry or it has answered for the cold time", "[cold]")
{
    // Guards against FAILBACK: an endpoint that crashed and came back was listed as warm by its old entry for up to 1.2 s.
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 0s}, start);
    starts.recordFailure(endpoint, 1, start + 1s);
    CHECK(starts.phase(endpoint, rule, start + 1s) == ColdPhase::Suspect);
    CHECK(sendAll(starts, start + 1s) == 0);
    CHECK(sendAll(starts, start + 1s + coldWindow) == 5);
    SECTION("An entry that may have been written before the failure changes nothing, a later one does")
    {
        starts.recordEntry(endpoint, {1, 2, 0s}, start + 2s);
        CHECK(starts.phase(endpoint, rule, start + 2s) == ColdPhase::Suspect);
        starts.recordEntry(endpoint, {1, 3, 0s}, start + 2500ms);
        CHECK(starts.phase(endpoint, rule, start + 2500ms) == ColdPhase::Warm);
    }
    SECTION("A new start counts, and a failure of the one before does not any more")
    {
        starts.recordEntry(endpoint, {2, 1, 3s}, start + 1500ms);
        starts.recordFailure(endpoint, 1, start + 1600ms);
        CHECK(starts.phase(endpoint, rule, start + 4400ms) == ColdPhase::Cold);
        CHECK(starts.phase(endpoint, rule, start + 4500ms) == ColdPhase::SlowStart);
    }
    SECTION("An answer shows that it is up, not that it is warm")
    {
        starts.recordOutput(endpoint, start + 900ms);
        starts.recordOutput(endpoint, start + 2s);
        CHECK(starts.phase(endpoint, rule, start + 4900ms) == ColdPhase::Suspect);
        CHECK(starts.phase(endpoint, rule, start + 5s) == ColdPhase::SlowStart);
    }
    SECTION("Without any further sign the suspicion ends")
    {
        // Guards against RECOVER: a link that was lost for a moment would take the endpoint away for good.
        CHECK(starts.phase(endpoint, rule, start + 4900ms) == ColdPhase::Suspect);
        CHECK(starts.phase(endpoint, rule, start + 5s) == ColdPhase::SlowStart);
    }
}

TEST_CASE("New failures that others report make an endpoint without requests suspect", "[cold]")
{
    // Guards against FAILBACK: an instance without a request at an endpoint that crashed saw it idle and listed as warm.
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 0s}, start);
    starts.recordReportedFailures(endpoint, 4, 2, 2s, start + 1s);
    CHECK(starts.phase(endpoint, rule, start + 1s) == ColdPhase::Warm);
    starts.recordReportedFailures(endpoint, 4, 1, 100ms, start + 1500ms);
    CHECK(starts.phase(endpoint, rule, start + 1500ms) == ColdPhase::Suspect);
    starts.recordEntry(endpoint, {2, 1, 0s}, start + 3s);
    // The same failures, decayed, are no new ones.
    starts.recordReportedFailures(endpoint, 0, 0, 2s, start + 3100ms);
    starts.recordReportedFailures(endpoint, 2.4, 0, 2s, start + 3500ms);
    CHECK(starts.phase(endpoint, rule, start + 3500ms) == ColdPhase::Warm);
    // One more failure counts only if nobody has output.
    starts.recordReportedFailures(endpoint, 3.4, 0, 500ms, start + 3900ms);
    CHECK(starts.phase(endpoint, rule, start + 3900ms) == ColdPhase::Warm);
    starts.recordReportedFailures(endpoint, 3.4, 0, 1s, start + 4400ms);
    CHECK(starts.phase(endpoint, rule, start + 4400ms) == ColdPhase::Suspect);
}

TEST_CASE("An instance without a rank sends a cold endpoint nothing until the slow start has ended", "[cold]")
{
    // Guards against FAILBACK: many isolated instances would together send more than an instance knows of.
    ColdStarts starts;
    starts.updateFleet({"10.0.0.1:90", {}, {"10.0.0.1:90", "10.0.0.2:90"}}, start);
    starts.recordEntry(endpoint, {1, 1, 3s}, start);
    CHECK(starts.timeToRequest(endpoint, rule, start) == 3s + slowStartTime);
    CHECK(sendAll(starts, start + 3s + slowStartTime) == 100);
}

TEST_CASE("A rank that becomes known while an endpoint is cold is used", "[cold]")
{
    ColdStarts starts;
    starts.recordEntry(endpoint, {1, 1, 3s}, start);
    CHECK(starts.timeToRequest(endpoint, rule, start) > Duration::zero());
    CHECK(starts.isFleetUpdateDue(start));
    starts.updateFleet({"10.0.0.1:90", {}, {}}, start);
    CHECK_FALSE(starts.isFleetUpdateDue(start));
    CHECK(sendAll(starts, start) == 5);
}

TEST_CASE("A change of phase is reported once", "[cold]")
{
    ColdStarts starts = single();
    starts.recordEntry(endpoint, {1, 1, 3s}, start);
    CHECK(starts.updatePhase(endpoint, rule, start) == ColdPhase::Cold);
    starts.recordEntry(endpoint, {1, 2, 2s}, start + 1s);
    CHECK_FALSE(starts.updatePhase(endpoint, rule, start + 1s));
    CHECK(starts.updatePhase(endpoint, rule, start + 3s) == ColdPhase::SlowStart);
    CHECK(starts.updatePhase(endpoint, rule, start + 6s) == ColdPhase::Warm);
}
