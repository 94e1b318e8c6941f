#include "LibAdmission/AdmissionQueue.h"
#include "LibAdmission/ConcurrencyLimit.h"
#include "LibAdmission/TokenBucket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;

namespace
{
constexpr MonotonicTime start {std::chrono::hours(1)};
}

// Guards against an account that exceeds its rate with some pattern of arrivals.
TEST_CASE("A token bucket admits at most its burst plus its rate times the elapsed time")
{
    CHECK(rc::check([] {
        const RateLimit limit {20, 5};
        TokenBucket bucket;
        MonotonicTime now = start;
        int admitted = 0;
        for (const int pause : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 60))) {
            now += std::chrono::milliseconds(pause);
            const Duration wait = takeToken(bucket, limit, now);
            admitted += wait == Duration::zero() ? 1 : 0;
            const double seconds = std::chrono::duration<double>(now - start).count();
            RC_ASSERT(admitted <= limit.burst + limit.rate * seconds + 1e-6);
            TokenBucket later = bucket;
            RC_ASSERT(takeToken(later, limit, now + wait + std::chrono::seconds(1)) == Duration::zero());
        }
    }));
}

// Guards against instances that together admit more than the site's limit.
TEST_CASE("The rate limits of the instances add up to the site's limit")
{
    const RateLimit site {100, 50};
    double sum = 0;
    for (const double demand : {0.0, 10.0, 30.0, 60.0}) {
        const RateLimit part = instanceRateLimit(site, demand, 100, 4);
        CHECK(part.rate > 0);
        sum += part.rate;
    }
    CHECK(sum == Approx(100));
}

// Guards against late refusals, requests that start too late for their deadline, and priority inversion.
TEST_CASE("The queue refuses early, starts no request that misses its deadline, and serves by priority")
{
    CHECK(rc::check([] {
        AdmissionQueue queue;
        queue.slotInterval = std::chrono::milliseconds(10);
        MonotonicTime now = start;
        std::vector<QueueEntry> expired;
        std::uint64_t id = 0;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            300, rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(1, 400)));
        for (const auto &[kind, priority, amount] : steps) {
            now += std::chrono::milliseconds(kind == 3 ? 10 : 1);
            if (kind < 3) {
                const QueueEntry entry {++id, priority, now + std::chrono::milliseconds(amount), std::chrono::milliseconds(20), now};
                for (const QueueEntry &displaced : tryEnqueue(queue, entry).displaced) {
                    RC_ASSERT(displaced.priority < entry.priority);
                    RC_ASSERT(now - displaced.arrived <= std::chrono::milliseconds(50));
                }
                continue;
            }
            if (const auto next = takeNext(queue, now, expired)) {
                RC_ASSERT(now + next->expectedService <= next->deadline);
                for (const QueueEntry &waiting : queue.entries) {
                    RC_ASSERT(waiting.priority <= next->priority);
                }
            }
        }
        RC_ASSERT(queue.entries.size() <= id);
    }));
}

// Guards against a queue that accepts requests which it cannot start in time.
TEST_CASE("A request that would start too late is refused on arrival")
{
    AdmissionQueue queue;
    queue.slotInterval = std::chrono::milliseconds(100);
    const MonotonicTime later = start + std::chrono::seconds(10);
    const Duration service = std::chrono::milliseconds(100);
    CHECK_FALSE(tryEnqueue(queue, {1, 0, start + std::chrono::milliseconds(150), service, start}).isAccepted);
    for (std::uint64_t id = 2; id <= 6; ++id) {
        CHECK(tryEnqueue(queue, {id, 0, later, service, start}).isAccepted);
    }
    CHECK_FALSE(tryEnqueue(queue, {7, 0, later, service, start}).isAccepted);
    const EnqueueResult urgent = tryEnqueue(queue, {8, 1, later, service, start});
    CHECK(urgent.isAccepted);
    REQUIRE(urgent.displaced.size() == 1);
    CHECK(urgent.displaced.front().id == 6);
}

// Guards against a limit that does not recover from an overload, and against one that does not react to it.
TEST_CASE("The concurrency limit shrinks when endpoints report exhaustion or requests queue, and recovers")
{
    ConcurrencyLimit limit;
    limit.running = 100;
    MonotonicTime now = start;
    for (int i = 0; i < 50; ++i) {
        now += std::chrono::milliseconds(100);
        recordExhaustion(limit, now);
    }
    CHECK(limit.limit == 4);
    CHECK_FALSE(hasFreeSlot(limit));
    for (int i = 0; i < 1000; ++i) {
        recordFirstByteTime(limit, std::chrono::milliseconds(30), now);
    }
    CHECK(limit.limit > 40);
    const double before = limit.limit;
    now += std::chrono::seconds(1);
    for (int i = 0; i < 300; ++i) {
        recordFirstByteTime(limit, std::chrono::milliseconds(125), now);
    }
    CHECK(limit.limit < before);
}

// Guards against a few stragglers that reduce the limit of a pool whose other endpoints are fast.
TEST_CASE("Two slow endpoints of twenty do not shrink the concurrency limit")
{
    ConcurrencyLimit limit;
    MonotonicTime now = start;
    for (int i = 0; i < 2000; ++i) {
        now += std::chrono::milliseconds(10);
        recordFirstByteTime(limit, std::chrono::milliseconds(i % 20 < 2 ? 200 : 20), now);
    }
    CHECK(limit.limit == 64);
}
