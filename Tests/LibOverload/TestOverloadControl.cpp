#include "LibOverload/OverloadControl.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime now {1000s};

/// Endpoints with the load that other instances report.
struct Pool {
    explicit Pool(int count, int running = 0, Duration waiting = 0ms)
    {
        for (int i = 0; i < count; ++i) {
            EndpointEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "pool";
            entry.slots = 64;
            this->entries.push_back(entry);
            this->usage[endpointKey(entry.id)] = {running, waiting, {}, {}};
        }
        for (const EndpointEntry &entry : this->entries) {
            this->pointers.push_back(&entry);
        }
        this->report(now);
    }

    void report(MonotonicTime at)
    {
        this->loads.setPeerUsage(this->usage, {}, at);
    }

    PoolState state() const
    {
        return {this->pointers, this->loads, PoolKind::Engines};
    }

    std::vector<EndpointEntry> entries;
    std::vector<const EndpointEntry *> pointers;
    EndpointUsageMap usage;
    EndpointLoads loads;
};

AdmissionRequest requestOf(const std::string &kind, int priority, Duration firstOutput, Duration objective, Duration limit)
{
    AdmissionRequest request;
    request.service = "pool";
    request.kind = kind;
    request.priority = priority;
    request.objective = objective;
    request.untilObjective = objective;
    request.remaining = limit;
    request.work = 150ms;
    request.nominalFirstOutput = firstOutput;
    request.firstOutput = firstOutput;
    request.observedWait = std::max<Duration>(0ms, firstOutput - request.work);
    return request;
}

AdmissionDecision decideNew(OverloadControl &control, const AdmissionRequest &request, const PoolState &pool, MonotonicTime at)
{
    control.recordDemand(request, at);
    return control.decide(request, pool, at);
}
} // namespace

TEST_CASE("A request that cannot be complete before its deadline is refused under a backlog", "[overload]")
{
    // Guards against work for answers that nobody gets any more: engines read prompts whose callers leave at the deadline.
    OverloadControl control;
    const Pool pool(4, 40, 9s);
    const AdmissionRequest doomed = requestOf("plan", 2, 9150ms, 8s, 7s);
    CHECK(decideNew(control, doomed, pool.state(), now).outcome == AdmissionOutcome::RefusedDeadline);
    // A forecast that exceeds the deadline by less than its error is not clear.
    CHECK(decideNew(control, requestOf("plan", 2, 9150ms, 8s, 8s), pool.state(), now).outcome == AdmissionOutcome::Admitted);
}

TEST_CASE("A queue that may have been worked off since the summary permits no refusal", "[overload]")
{
    // Guards against refusals at idle endpoints: in the play of a hot account, queues of less than a second had gone by the time of the decision.
    OverloadControl control;
    const AdmissionRequest doomed = requestOf("plan", 2, 9150ms, 8s, 1s);
    CHECK(decideNew(control, doomed, Pool(4, 10, 1100ms).state(), now).outcome == AdmissionOutcome::AdmittedUnloaded);
    CHECK(decideNew(control, doomed, Pool(4, 10, 1300ms).state(), now).outcome == AdmissionOutcome::RefusedDeadline);
    CHECK(decideNew(control, doomed, Pool(4, 10, 1300ms).state(), now + 500ms).outcome == AdmissionOutcome::AdmittedUnloaded);
    // Prompt times that were learned under overload are too long, and so are the waits that are added up from them.
    AdmissionRequest inflated = doomed;
    inflated.nominalFirstOutput = 10 * inflated.firstOutput;
    CHECK(decideNew(control, inflated, Pool(4, 10, 9000ms).state(), now).outcome == AdmissionOutcome::AdmittedUnloaded);
}

TEST_CASE("The time of the output counts against the deadline", "[overload]")
{
    OverloadControl control;
    const Pool pool(4, 40, 5s);
    AdmissionRequest request = requestOf("plan", 2, 5s, 8s, 7s);
    CHECK(decideNew(control, request, pool.state(), now).outcome == AdmissionOutcome::Admitted);
    request.outputTime = 4s;
    CHECK(decideNew(control, request, pool.state(), now).outcome == AdmissionOutcome::RefusedDeadline);
}

TEST_CASE("A forecast that the observed waits don't support refuses nothing", "[overload]")
{
    // A few slow answers can raise an endpoint's estimated slowdown to 20; the forecast is then no reason for a refusal.
    OverloadControl control;
    const Pool pool(4, 40, 500ms);
    AdmissionRequest request = requestOf("note", 0, 13s, 2s, 6s);
    request.observedWait = 500ms;
    CHECK(decideNew(control, request, pool.state(), now).outcome == AdmissionOutcome::Admitted);
}

TEST_CASE("A request with time to spare gives way to more urgent ones at risk, and only by a fresh summary", "[overload]")
{
    // Guards against notes of 2 s that wait behind the prompts of plans of 8 s: a less urgent kind must not earn a larger share of its value.
    OverloadControl control;
    Pool pool(2, 40, 1200ms);
    const AdmissionRequest plan = requestOf("plan", 2, 1350ms, 8s, 15s);
    CHECK(decideNew(control, plan, pool.state(), now).outcome == AdmissionOutcome::Admitted);
    control.recordDemand(requestOf("note", 0, 1350ms, 2s, 20s), now);
    CHECK(decideNew(control, plan, pool.state(), now).outcome == AdmissionOutcome::Deferred);
    CHECK(decideNew(control, requestOf("note", 0, 1350ms, 2s, 20s), pool.state(), now).outcome == AdmissionOutcome::Admitted);
    // With a short wait nobody is at risk.
    CHECK(decideNew(control, requestOf("plan", 2, 400ms, 8s, 15s), pool.state(), now).outcome == AdmissionOutcome::Admitted);
    // Without a summary within 2.5 s only the request's own deadline counts.
    control.recordDemand(requestOf("note", 0, 1350ms, 2s, 20s), now + 2600ms);
    CHECK(decideNew(control, plan, pool.state(), now + 2600ms).outcome == AdmissionOutcome::Admitted);
    pool.report(now + 2600ms);
    CHECK(decideNew(control, plan, pool.state(), now + 2600ms).outcome == AdmissionOutcome::Deferred);
}

TEST_CASE("A request that was held back is sent while it can still be on time", "[overload]")
{
    // Guards against starvation of the least urgent kind under a long backlog.
    OverloadControl control;
    Pool pool(2, 40, 1200ms);
    MonotonicTime at = now;
    AdmissionRequest plan = requestOf("plan", 2, 1350ms, 8s, 15s);
    do {
        at += 100ms;
        plan.untilObjective -= 100ms;
        plan.remaining -= 100ms;
        pool.report(at);
        control.recordDemand(requestOf("note", 0, 1350ms, 2s, 20s), at);
    } while (control.decide(plan, pool.state(), at).outcome == AdmissionOutcome::Deferred);
    CHECK(control.decide(plan, pool.state(), at).outcome == AdmissionOutcome::Admitted);
    CHECK(plan.firstOutput < plan.untilObjective);
    CHECK(plan.untilObjective < 3s);
}

TEST_CASE("The priority of an account precedes that of the route", "[overload]")
{
    // Kinds are told apart by route and priority, so a request of an urgent account does not give way to others on its route.
    OverloadControl control;
    const Pool pool(2, 40, 1200ms);
    control.recordDemand(requestOf("plan", 1, 1350ms, 2s, 15s), now);
    CHECK(decideNew(control, requestOf("plan", 0, 1350ms, 8s, 15s), pool.state(), now).outcome == AdmissionOutcome::Admitted);
    CHECK(decideNew(control, requestOf("plan", 2, 1350ms, 8s, 15s), pool.state(), now).outcome == AdmissionOutcome::Deferred);
}

TEST_CASE("A restarted instance admits as if there were no overload", "[overload]")
{
    OverloadControl control;
    const Pool pool(4, 0, 0ms);
    CHECK_FALSE(isRefusal(decideNew(control, requestOf("plan", 2, 60s, 8s, 15s), pool.state(), now).outcome));
}

TEST_CASE("Nothing is refused while less than half of the places are taken and nothing is queued", "[overload]")
{
    rc::check("over loads, forecasts and demands", [] {
        const int running = *rc::gen::inRange(0, 32);
        Pool pool(*rc::gen::inRange(1, 6), running, 0ms);
        OverloadControl control;
        for (int i = 0; i < 40; ++i) {
            const auto time = [](int most) { return std::chrono::milliseconds(*rc::gen::inRange(0, most)); };
            AdmissionRequest request = requestOf(i % 2 == 0 ? "a" : "b", *rc::gen::inRange(0, 3), time(60000), time(9000), time(20000));
            request.observedWait = time(60000);
            request.nominalFirstOutput = time(60000);
            request.outputTime = time(9000);
            const AdmissionOutcome outcome = decideNew(control, request, pool.state(), now + i * 10ms).outcome;
            RC_ASSERT(!isRefusal(outcome) && outcome != AdmissionOutcome::Deferred);
        }
    });
}
