#include "LibCore/Random.h"
#include "LibRouting/HedgeRule.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/RetryRules.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace Godwitfork;

// Guards against retries that amplify an overload, whatever the order and the pace of requests and failures.
TEST_CASE("The retry budget holds for every sequence")
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

// Guards against instances that together pass the bound of all, when each also uses a part of what the fleet had left at its last look.
TEST_CASE("Spare retries keep the sum of all instances within the bound")
{
    // Pattern: an endpoint fails everything; every instance retries as often as it may, with views that are up to a second old.
    constexpr int instances = 40;
    const RetryRule ruleOfAll {0.9 * 0.85, 80};
    std::vector<RetryBudget> budgets(instances);
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    RandomSource random(20261204);
    std::uniform_int_distribution<int> chance(0, 99);
    const MonotonicTime start {std::chrono::hours(1)};
    for (int tick = 0; tick < 600; ++tick) {
        const MonotonicTime now = start + std::chrono::milliseconds(100) * tick;
        RetryUse useOfAll;
        for (const RetryBudget &budget : budgets) {
            useOfAll += retryUse(budget, now);
        }
        // The traffic swings between a few and many requests.
        const int share = tick % 170 < 60 ? 40 : 8;
        for (int i = 0; i < instances; ++i) {
            RetryBudget &budget = budgets[static_cast<std::size_t>(i)];
            if ((tick + i) % 10 == 0) {
                budget.rule = {ruleOfAll.share, ruleOfAll.allowance / instances + spareRetries(ruleOfAll, useOfAll, instances)};
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
        // The bound of the users counts the requests of this window, the one before it or the one between, whichever has most.
        const auto window = std::chrono::seconds(10);
        const auto half = window / 2;
        const auto most = std::max({since(requests, Duration::zero(), window), since(requests, half, window + half), since(requests, window, window * 2)});
        const double bound = 0.9 * static_cast<double>(most) + 2 * ruleOfAll.allowance;
        REQUIRE(static_cast<double>(since(retries, Duration::zero(), window)) <= bound);
    }
    CHECK(retries.size() > 1000);
}

// Guards against a second run of a non-idempotent request (I7) and against a restart of an answer in progress (I5).
TEST_CASE("The permitted retry depends on the progress")
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

// Guards against a refusal that says `no` for a request that may have run (I6).
TEST_CASE("ran is no only if no endpoint can have started the request")
{
    CHECK_FALSE(mayHaveRun(RequestProgress::NotSent));
    CHECK_FALSE(mayHaveRun(RequestProgress::NotStarted));
    CHECK(mayHaveRun(RequestProgress::Dispatched));
    CHECK(mayHaveRun(RequestProgress::Answering));
}

// Guards against an attempt that outlives the caller's deadline.
TEST_CASE("An attempt ends at the deadline")
{
    const MonotonicTime now {std::chrono::hours(1)};
    const Duration limit = std::chrono::seconds(2);
    CHECK(attemptTimeout(now + std::chrono::seconds(10), now, limit) == limit);
    CHECK(attemptTimeout(now + std::chrono::seconds(1), now, limit) == std::chrono::seconds(1));
    CHECK_FALSE(attemptTimeout(now, now, limit).has_value());
}

// Guards against hedges on calls that may not run twice, and against hedging the usual case.
TEST_CASE("A hedge waits for the 95th percentile and is never sent for non-idempotent calls")
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
