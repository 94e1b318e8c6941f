#include "LibRollout/Rollout.h"
#include "LibRollout/RolloutLease.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;

namespace
{
constexpr int replicas = 20;
const WallTime start {std::chrono::hours(495000)};

/// Returns ratings spread evenly over an interval of width 0.4 around a mean.
RatingCounts spreadRatings(double mean, int count)
{
    RatingCounts ratings = {};
    for (int i = 0; i < count; ++i) {
        const double offset = ((i * 7) % 20 + 0.5) / 20 * 0.4 - 0.2;
        ++ratings[static_cast<std::size_t>(ratingBin(mean + offset))];
    }
    return ratings;
}

const ReferenceQuality reference {spreadRatings(0.8, 2000), 0.002};

CandidateObservation ratingsOf(double mean, int count)
{
    return {spreadRatings(mean, count), count, 0};
}

/// Object in a store with conditional updates; a version of 0 means that it does not exist.
template<typename Content>
struct StoredObject {
    Content content;
    int version = 0;

    bool update(int expectedVersion, Content changed)
    {
        if (expectedVersion != this->version) {
            return false;
        }
        this->content = std::move(changed);
        ++this->version;
        return true;
    }
};

/// Lease holder that acts on the state that it read last, like a process that was paused since.
struct Holder {
    std::string name;
    RolloutLease lease;
    Rollout lastRead;
    int lastReadVersion = 0;
};
} // namespace

// Guards against a roll-out that skips a stage, starts one without loaded weights, or never completes.
TEST_CASE("A good version passes all stages, each one only after its weights are loaded")
{
    Rollout rollout = makeRollout("blazon", "1", "2", start);
    WallTime now = start;
    for (std::size_t stage = 0; stage < exposureStages.size(); ++stage) {
        const double before = exposureShare(rollout);
        rollout = advance(rollout, replicasNeeded(rollout, replicas) - 1, replicas, now);
        CHECK(exposureShare(rollout) == before);
        rollout = advance(rollout, replicasNeeded(rollout, replicas), replicas, now);
        CHECK(exposureShare(rollout) == exposureStages[stage]);
        CHECK_FALSE(isExposed(rollout, PinState::Pinned, 0));
        rollout = recordObservation(rollout, reference, ratingsOf(0.8, 200), now);
        CHECK(advance(rollout, replicas, replicas, now) == rollout);
        now += std::chrono::seconds(120);
        rollout = advance(rollout, replicas, replicas, now);
    }
    CHECK(rollout.phase == RolloutPhase::Completed);
}

// Guards against a bad version that stays in use, and against a good one that is withdrawn for one bad sample.
TEST_CASE("Bad ratings pause a roll-out, and later ratings withdraw or resume it")
{
    Rollout rollout = advance(makeRollout("blazon", "1", "2", start), replicas, replicas, start);
    rollout = recordObservation(rollout, reference, ratingsOf(0.6, 20), start);
    REQUIRE(rollout.phase == RolloutPhase::Paused);
    CHECK_FALSE(isExposed(rollout, PinState::Unpinned, 0));
    CHECK(recordObservation(rollout, reference, ratingsOf(0.6, 20), start).phase == RolloutPhase::Withdrawn);
    CHECK(recordObservation(rollout, reference, ratingsOf(0.8, 20), start).phase == RolloutPhase::Loading);
    CHECK(advance(rollout, replicas, replicas, start + std::chrono::seconds(600)).phase == RolloutPhase::Withdrawn);
}

// Guards against a long good period that delays the detection of a later change.
TEST_CASE("A version that turns bad after many good ratings is paused as early as a new version")
{
    Rollout rollout = advance(makeRollout("blazon", "1", "2", start), replicas, replicas, start);
    rollout = recordObservation(rollout, reference, ratingsOf(0.8, 10000), start);
    CHECK(recordObservation(rollout, reference, ratingsOf(0.6, 20), start).phase == RolloutPhase::Paused);
}

// Guards against many bad answers that are delivered before the first of them is rated.
TEST_CASE("The exposure of the first two stages is limited by the delay of ratings")
{
    Rollout rollout = limitShare(makeRollout("blazon", "1", "2", start), 1000);
    rollout = advance(rollout, replicas, replicas, start);
    CHECK(exposureShare(rollout) == Approx(0.004));
    rollout.stage = 2;
    CHECK(exposureShare(rollout) == exposureStages[2]);
    CHECK(exposureShare(limitShare(rollout, 0)) == exposureStages[2]);
}

// Guards against a version that stays in use because its failed answers are never rated.
TEST_CASE("Errors alone pause the roll-out")
{
    Rollout rollout = advance(makeRollout("blazon", "1", "2", start), replicas, replicas, start);
    rollout = recordObservation(rollout, reference, {{}, 10, 4}, start);
    CHECK(rollout.phase == RolloutPhase::Paused);
}

// Guards against an operator's pause that the sequential test or a timeout ends.
TEST_CASE("An operator's pause lasts until the operator resumes")
{
    Rollout rollout = advance(makeRollout("blazon", "1", "2", start), replicas, replicas, start);
    CHECK(resume(rollout, start).error().code == "not_paused");
    rollout = pause(rollout, start).value();
    CHECK(recordObservation(rollout, reference, ratingsOf(0.8, 500), start) == rollout);
    CHECK(advance(rollout, replicas, replicas, start + std::chrono::hours(48)) == rollout);
    CHECK(resume(rollout, start).value().phase == RolloutPhase::Loading);
    CHECK(resume(withdraw(rollout, start).value(), start).error().code == "rollout_finished");
}

// Guards against a state that is altered when it is stored and read back.
TEST_CASE("A stored roll-out is read back unchanged, and a malformed one is refused")
{
    Rollout rollout = advance(makeRollout("blazon", "1", "2", start), replicas, replicas, start);
    rollout = takeOver(recordObservation(rollout, reference, ratingsOf(0.79, 3), start), 4);
    CHECK(rolloutFromStoredJson(toStoredJson(rollout)).value() == rollout);
    rollout.stage = 5;
    CHECK(rolloutFromStoredJson(toStoredJson(rollout)).error().code == "invalid_rollout");
    CHECK(rolloutFromStoredJson("{}").error().code == "invalid_rollout");
}

// Guards against two lease holders that both advance a stage after one of them was paused, and against a withdrawn version that is
// exposed again by a former holder, an operator or a second roll-out.
TEST_CASE("Paused lease holders advance each stage at most once and never expose a withdrawn version")
{
    CHECK(rc::check([] {
        StoredObject<RolloutLease> lease;
        StoredObject<Rollout> object;
        Holder holders[2] = {{"a", {}, {}, 0}, {"b", {}, {}, 0}};
        WallTime now = start;
        bool withdrawn = false;
        const int steps = *rc::gen::inRange(0, 150);
        for (int i = 0; i < steps; ++i) {
            Holder &holder = holders[*rc::gen::inRange(0, 2)];
            const int action = *rc::gen::inRange(0, 8);
            const Rollout before = object.content;
            bool written = false;
            if (action == 0) {
                now += std::chrono::seconds(*rc::gen::inRange(1, 130));
            } else if (action == 1) {
                const auto claimed = claimLease(lease.content, holder.name, now);
                if (claimed && lease.update(lease.version, *claimed)) {
                    holder.lease = *claimed;
                    holder.lastRead = object.content;
                    holder.lastReadVersion = object.version;
                    const Rollout first = makeRollout("blazon", "1", "2", now);
                    const Rollout taken = takeOver(object.version == 0 ? first : holder.lastRead, claimed->term);
                    written = object.update(holder.lastReadVersion, taken);
                    holder.lastRead = object.content;
                    holder.lastReadVersion = object.version;
                }
            } else if (holder.lastReadVersion > 0) {
                // Acts without checking its lease, like a process that was paused right after the check.
                Rollout changed = holder.lastRead;
                if (action == 2) {
                    changed = recordObservation(changed, reference, ratingsOf(0.6, *rc::gen::inRange(1, 20)), now);
                } else if (action == 3) {
                    changed = recordObservation(changed, reference, ratingsOf(0.8, 40), now);
                } else if (action == 4 && resume(changed, now)) {
                    changed = resume(changed, now).value();
                } else {
                    changed = advance(changed, replicas, replicas, now);
                }
                written = object.update(holder.lastReadVersion, changed);
                if (written) {
                    RC_ASSERT(changed.term == lease.content.term);
                    holder.lastRead = changed;
                    holder.lastReadVersion = object.version;
                }
            }
            if (!written) {
                RC_ASSERT(object.content == before);
                continue;
            }
            RC_ASSERT(object.content.stage >= before.stage);
            RC_ASSERT(object.content.stage <= before.stage + 1);
            withdrawn = withdrawn || object.content.phase == RolloutPhase::Withdrawn;
            RC_ASSERT(!withdrawn || !isExposed(object.content, PinState::Unpinned, 0));
        }
    }));
}

// Guards against a lease that two instances hold at the same time, also if their clocks deviate by the permitted error.
TEST_CASE("A lease has one holder at a time")
{
    const RolloutLease first = claimLease({}, "a", start).value();
    CHECK(first.term == 1);
    CHECK(claimLease(first, "a", start + std::chrono::seconds(5))->term == 1);
    CHECK_FALSE(claimLease(first, "b", start + std::chrono::milliseconds(10400)));
    CHECK_FALSE(holdsLease(first, "a", start + std::chrono::milliseconds(9500)));
    CHECK(claimLease(first, "b", start + std::chrono::milliseconds(10500))->term == 2);
}
