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
