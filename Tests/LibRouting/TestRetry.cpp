#include "LibCore/Random.h"
#include "LibRouting/HedgeRule.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/RetryRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace Godwitfork;

// Guards against retries that amplify an overload, for any order and rate of requests and failures.
TEST_CASE("The retry budget is never exceeded, whatever the sequence of requests and retries")
{
    CHECK(rc::check([] {
        RetryBudget budget;
        MonotonicTime now {std::chrono::hours(1)};
        std::vector<MonotonicTime> requests;
        std::vector<MonotonicTime> retries;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 400)));
        for (const auto &[kind, pause] : steps) {
            now += std::chrono::milliseconds(pause);
            for (int i = 0; kind == 0 && i < 10; ++i) {
                recordRequest(budget, now);
                requests.push_back(now);
            }
            if (kind == 0 || !takeRetry(budget, now)) {
                continue;
            }
            retries.push_back(now);
            const auto isWithin = [&](auto span) { return [&, span](MonotonicTime time) { return now - time < span; }; };
            const auto recentRequests = std::count_if(requests.begin(), requests.end(), isWithin(std::chrono::seconds(10)));
            const auto recentRetries = std::count_if(retries.begin(), retries.end(), isWithin(std::chrono::seconds(9)));
            RC_ASSERT(static_cast<double>(recentRetries) <= RetryRule().allowance + RetryRule().share * static_cast<double>(recentRequests));
        }
    }));
}

// Guards against instances that together exceed the fleet's bound because each also uses a part of the fleet's unused retries.
TEST_CASE("Spare retries do not let the instances together exceed the fleet's bound")
{
    // An endpoint fails every request, and every instance retries as often as it may, with figures of the fleet up to 1 s old.
    constexpr int instances = 40;
    const RetryRule fleetRule {0.9 * 0.85, 80};
    std::vector<RetryBudget> budgets(instances);
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    RandomSource random(20261204);
    std::uniform_int_distribution<int> chance(0, 99);
    const MonotonicTime start {std::chrono::hours(1)};
    for (int tick = 0; tick < 600; ++tick) {
        const MonotonicTime now = start + std::chrono::milliseconds(100) * tick;
        RetryUse fleetUse;
        for (const RetryBudget &budget : budgets) {
            fleetUse += retryUse(budget, now);
        }
        // The traffic alternates between high and low load.
        const int share = tick % 170 < 60 ? 40 : 8;
        for (int i = 0; i < instances; ++i) {
            RetryBudget &budget = budgets[static_cast<std::size_t>(i)];
            if ((tick + i) % 10 == 0) {
                budget.rule = {fleetRule.share, fleetRule.allowance / instances + spareRetries(fleetRule, fleetUse, instances)};
            }
            if (chance(random) < share) {
                recordRequest(budget, now);
                requests.push_back(now);
            }
            if (tick > 100 && takeRetry(budget, now)) {
                retries.push_back(now);
            }
        }
        const auto since = [&](const std::vector<MonotonicTime> &times, Duration first, Duration last) {
            return std::count_if(times.begin(), times.end(), [&](MonotonicTime time) { return now - time >= first && now - time < last; });
        };
        // The bound that users are promised counts the requests of this window, the one before it or the one halfway between,
        // whichever has the most.
        const auto window = std::chrono::seconds(10);
        const auto half = window / 2;
        const auto most = std::max({since(requests, Duration::zero(), window), since(requests, half, window + half), since(requests, window, window * 2)});
        const double bound = 0.9 * static_cast<double>(most) + 2 * fleetRule.allowance;
        REQUIRE(static_cast<double>(since(retries, Duration::zero(), window)) <= bound);
    }
    CHECK(retries.size() > 1000);
}

// Guards against a second run of a non-idempotent request, and against a restart of a response in progress.
TEST_CASE("The permitted retry depends on the progress of the failed attempt")
{
    using enum RequestProgress;
    const auto unsupported = StreamResumption::Unsupported;
    const auto supported = StreamResumption::Supported;
    for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent}) {
        CHECK(actionAfterFailure(kind, NotSent, unsupported) == FailureAction::RetryAnywhere);
    }
    CHECK(actionAfterFailure(CallKind::Idempotent, Dispatched, unsupported) == FailureAction::RetryElsewhere);
    CHECK(actionAfterFailure(CallKind::Idempotent, NotStarted, unsupported) == FailureAction::RetryElsewhere);
    CHECK(actionAfterFailure(CallKind::Idempotent, Answering, unsupported) == FailureAction::Fail);
    CHECK(actionAfterFailure(CallKind::Idempotent, Answering, supported) == FailureAction::ResumeStream);
    for (const RequestProgress progress : {NotStarted, Dispatched, Answering}) {
        CHECK(actionAfterFailure(CallKind::NonIdempotent, progress, supported) == FailureAction::Fail);
    }
}

// Guards against a refusal with `ran: no` for a request that may have run.
TEST_CASE("A request counts as not run only if no endpoint can have started it")
{
    CHECK_FALSE(mayHaveRun(RequestProgress::NotSent));
    CHECK_FALSE(mayHaveRun(RequestProgress::NotStarted));
    CHECK(mayHaveRun(RequestProgress::Dispatched));
    CHECK(mayHaveRun(RequestProgress::Answering));
}

// Guards against an attempt that outlives the caller's deadline.
TEST_CASE("An attempt ends at the caller's deadline")
{
    const MonotonicTime now {std::chrono::hours(1)};
    const Duration limit = std::chrono::seconds(2);
    CHECK(attemptTimeout(now + std::chrono::seconds(10), now, limit) == limit);
    CHECK(attemptTimeout(now + std::chrono::seconds(1), now, limit) == std::chrono::seconds(1));
    CHECK_FALSE(attemptTimeout(now, now, limit).has_value());
}

// Guards against hedges of requests that must not run twice, and against hedges of requests that are not slow.
TEST_CASE("A hedge is sent after the 95th percentile of the time to the first byte, and never for a non-idempotent request")
{
    FirstByteTimes times;
    recordFirstByte(times, std::chrono::milliseconds(1));
    CHECK_FALSE(hedgeDelay(times, CallKind::Idempotent).has_value());
    for (int i = 1; i < 300; ++i) {
        recordFirstByte(times, std::chrono::milliseconds(i % 100));
    }
    CHECK_FALSE(hedgeDelay(times, CallKind::NonIdempotent).has_value());
    CHECK(*hedgeDelay(times, CallKind::Idempotent) >= std::chrono::milliseconds(90));
}
