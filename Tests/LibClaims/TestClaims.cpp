#include "LibClaims/ClaimAttempt.h"
#include "LibClaims/ClaimClosing.h"
#include "LibCore/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace Godwitfork;

namespace
{
const WallTime start {std::chrono::hours(498000)};

/// Store with one claim object; a write may take effect late or without an answer.
struct Store {
    std::optional<Claim> claim;
    std::uint64_t version = 0;
    std::uint64_t counter = 0;

    ClaimWriteResponse write(const ClaimStep &step)
    {
        const bool holds = step.action == ClaimAction::Create ? !this->claim : this->claim && this->version == step.version;
        if (!holds) {
            return {ClaimWriteResult::Conflict, 0};
        }
        // The codec stands between the state machine and the store, as it does in a router.
        this->claim = decodeClaim(encodeClaim(step.claim)).value();
        this->version = ++this->counter;
        return {ClaimWriteResult::Written, this->version};
    }

    ClaimReadResponse read() const
    {
        return this->claim ? ClaimReadResponse {ClaimReadResult::Found, *this->claim, this->version} : ClaimReadResponse {ClaimReadResult::Missing, {}, 0};
    }
};

/// One instance that runs attempts of the same key one after the other; each call of `step` makes one move, so pauses lie
/// between any two moves.
class Instance
{
public:
    Instance(std::string name, Duration clockError) : name(std::move(name)), clockError(clockError)
    {
    }

    std::string name;
    Duration clockError;
    int attempts = 0;
    std::optional<ClaimAttempt> attempt;
    std::optional<ClaimClosing> closing;
    ClaimStep next;
    std::vector<ClaimStep> ended;
};

struct World {
    explicit World(std::uint64_t seed) : random(seed)
    {
    }

    bool chance(std::uint64_t percent)
    {
        return this->random() % 100 < percent;
    }

    ClaimWriteResponse write(const ClaimStep &step)
    {
        const std::uint64_t fate = this->faults ? this->random() % 10 : 9;
        if (fate == 0) {
            return {ClaimWriteResult::NotSent, 0};
        }
        if (fate == 1) {
            this->late.push_back(step);
            return {ClaimWriteResult::Uncertain, 0};
        }
        const ClaimWriteResponse written = this->store.write(step);
        return fate == 2 ? ClaimWriteResponse {ClaimWriteResult::Uncertain, 0} : written;
    }

    void landLateWrite()
    {
        if (!this->late.empty()) {
            const std::size_t index = this->random() % this->late.size();
            this->store.write(this->late[index]);
            this->late.erase(this->late.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    RandomSource random;
    Store store;
    WallTime now = start;
    std::vector<ClaimStep> late;
    bool faults = true;
    std::uint64_t refusedConnectionPercent = 10;
    int dispatches = 0;
    int answered = 0;
};

void beginAttempt(World &world, Instance &instance)
{
    Claim wanted;
    wanted.requestId = instance.name + "-" + std::to_string(instance.attempts++);
    wanted.token = wanted.requestId;
    wanted.owner = instance.name;
    wanted.bodyHash = claimBodyHash("orders", "/deposit", "body");
    wanted.notAfter = world.now + instance.clockError + std::chrono::seconds(2);
    instance.attempt.emplace(wanted);
    instance.next = instance.attempt->start();
}

void close(Instance &instance, const Claim &target, std::uint64_t version)
{
    instance.closing.emplace(target, version, instance.attempt->takeoverVersion());
    instance.next = instance.closing->start();
}

void dispatch(World &world, Instance &instance)
{
    const ClaimStep step = instance.next;
    if (!mayDispatch(step.claim, world.now + instance.clockError) || world.chance(world.refusedConnectionPercent)) {
        // Expired, or no connection could be opened.
        close(instance, releasedClaim(step.claim), step.version);
        return;
    }
    world.dispatches += 1;
    if (world.chance(70)) {
        world.answered += 1;
        close(instance, doneClaim(step.claim, {200, "text/plain", "ran for " + step.claim.requestId, false}), step.version);
    } else {
        close(instance, unknownClaim(step.claim), step.version);
    }
}

void moveOn(World &world, Instance &instance)
{
    if (!instance.attempt) {
        beginAttempt(world, instance);
        return;
    }
    const WallTime now = world.now + instance.clockError;
    const ClaimStep step = instance.next;
    switch (step.action) {
    case ClaimAction::Create:
    case ClaimAction::Update: {
        const ClaimWriteResponse written = world.write(step);
        instance.next = instance.closing ? instance.closing->receive(written) : instance.attempt->receive(written, now);
        return;
    }
    case ClaimAction::Read: {
        const ClaimReadResponse read = world.faults && world.chance(15) ? ClaimReadResponse {} : world.store.read();
        instance.next = instance.closing ? instance.closing->receive(read) : instance.attempt->receive(read, now);
        return;
    }
    case ClaimAction::Dispatch:
        dispatch(world, instance);
        return;
    case ClaimAction::Wait:
        instance.next = instance.closing->start();
        return;
    case ClaimAction::Refuse:
        instance.ended.push_back(step);
        if (step.needsRelease) {
            close(instance, releasedClaim(instance.attempt->claim()), step.version);
            return;
        }
        break;
    case ClaimAction::Replay:
        instance.ended.push_back(step);
        break;
    case ClaimAction::Finished:
        break;
    }
    instance.attempt.reset();
    instance.closing.reset();
}

ClaimStep finalRetry(World &world)
{
    world.faults = false;
    Instance instance("last", Duration(0));
    while (instance.ended.empty()) {
        moveOn(world, instance);
        if (instance.closing) {
            return instance.next;
        }
    }
    return instance.ended.front();
}
} // namespace

// Guards against a deposit that is charged twice: at most one dispatch for a key, whatever the order of moves, pauses past
// not_after, instance deaths, lost answers and writes that take effect late.
TEST_CASE("A key is dispatched at most once in every interleaving")
{
    int dispatched = 0;
    int replayed = 0;
    CHECK(rc::check("random interleavings", [&](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 50; ++run) {
            World world(seed * 50 + run);
            std::vector<Instance> instances;
            for (std::uint64_t i = 0; i < 2 + run % 3; ++i) {
                const auto clockError = Duration(static_cast<Duration::rep>(world.random() % 500000) - 250000);
                instances.emplace_back("i" + std::to_string(i), clockError);
            }
            for (int move = 0; move < 120; ++move) {
                Instance &instance = instances[world.random() % instances.size()];
                moveOn(world, instance);
                world.now += std::chrono::milliseconds(world.chance(3) ? 3000 : world.random() % 40);
                if (world.chance(10)) {
                    world.landLateWrite();
                }
                if (world.chance(2)) {
                    // The process dies; its successor knows nothing.
                    instance.attempt.reset();
                    instance.closing.reset();
                }
                RC_ASSERT(world.dispatches <= 1);
            }
            for (const Instance &instance : instances) {
                for (const ClaimStep &step : instance.ended) {
                    const bool isReplay = step.action == ClaimAction::Replay;
                    replayed += isReplay ? 1 : 0;
                    RC_ASSERT(!isReplay || (world.answered == 1 && step.claim.answer.body == "ran for " + step.claim.requestId));
                }
            }
            while (!world.late.empty()) {
                world.landLateWrite();
            }
            dispatched += world.dispatches;
            const ClaimStep last = finalRetry(world);
            RC_ASSERT(last.action != ClaimAction::Replay || world.answered == 1);
            RC_ASSERT(world.dispatches <= 1);
        }
    }));
    // The property would hold vacuously if nothing were dispatched.
    INFO(dispatched << " dispatches, " << replayed << " replays");
    CHECK(dispatched > 1000);
    CHECK(replayed > 1000);
}

// Guards against a key that stays blocked although nobody dispatched.
TEST_CASE("A claim that was given up can be claimed again")
{
    World world(1);
    world.faults = false;
    ClaimAttempt first(Claim {ClaimState::Claimed, "r1", "h", "i1", "t1", start + std::chrono::seconds(1), {}});
    const ClaimStep create = first.start();
    REQUIRE(first.receive(ClaimWriteResponse {ClaimWriteResult::Uncertain, 0}, start).action == ClaimAction::Read);
    const ClaimStep refusal = first.receive(ClaimReadResponse {}, start);
    CHECK(refusal.refusal == ClaimRefusal::StoreUnavailable);
    CHECK(refusal.ran == ClaimRan::No);
    REQUIRE(refusal.needsRelease);
    world.store.write(create);
    ClaimClosing closing(releasedClaim(first.claim()), refusal.version, first.takeoverVersion());
    // Only a create keeps an uncertain create from taking effect later.
    CHECK(closing.start().action == ClaimAction::Create);
    CHECK(closing.receive(world.store.write(closing.start())).action == ClaimAction::Read);
    closing.receive(world.store.write(closing.receive(world.store.read())));
    CHECK(closing.result() == ClaimClosingResult::Recorded);

    ClaimAttempt second(Claim {ClaimState::Claimed, "r2", "h", "i2", "t2", start + std::chrono::seconds(1), {}});
    second.receive(world.store.write(second.start()), start);
    const ClaimStep takeover = second.receive(world.store.read(), start);
    REQUIRE(takeover.action == ClaimAction::Update);
    const ClaimStep granted = second.receive(world.store.write(takeover), start);
    CHECK(granted.action == ClaimAction::Dispatch);
    CHECK(granted.claim.requestId == "r1");
}

// Guards against a late write that blocks a key after every instance has given it up.
TEST_CASE("A key that no instance dispatched stays claimable")
{
    CHECK(rc::check("random interleavings", [](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 50; ++run) {
            World world(seed * 50 + run);
            world.refusedConnectionPercent = 100;
            std::vector<Instance> instances {Instance("i0", Duration(0)), Instance("i1", Duration(0))};
            const auto settle = [&world](Instance &instance) {
                while (instance.attempt) {
                    moveOn(world, instance);
                }
            };
            for (int move = 0; move < 40; ++move) {
                moveOn(world, instances[world.random() % 2]);
                if (world.chance(10)) {
                    world.landLateWrite();
                }
            }
            world.faults = false;
            std::ranges::for_each(instances, settle);
            while (!world.late.empty()) {
                world.landLateWrite();
            }
            world.refusedConnectionPercent = 0;
            finalRetry(world);
            RC_ASSERT(world.dispatches == 1);
        }
    }));
}

// Guards against the wrong error for each state in which a retry can find the claim.
TEST_CASE("A retry is judged by the state of the claim")
{
    const auto retry = [](ClaimState state, const std::string &bodyHash, WallTime now) {
        ClaimAttempt attempt(Claim {ClaimState::Claimed, "r2", "h", "i2", "t2", now + std::chrono::seconds(1), {}});
        attempt.start();
        attempt.receive(ClaimWriteResponse {ClaimWriteResult::Conflict, 0}, now);
        const Claim found {state, "r1", bodyHash, "i1", "t1", start + std::chrono::seconds(1), {}};
        return attempt.receive(ClaimReadResponse {ClaimReadResult::Found, found, 4}, now);
    };
    CHECK(retry(ClaimState::Done, "other", start).refusal == ClaimRefusal::KeyReused);
    CHECK(retry(ClaimState::Done, "h", start).action == ClaimAction::Replay);
    CHECK(retry(ClaimState::Unknown, "h", start).refusal == ClaimRefusal::OutcomeUnknown);
    CHECK(retry(ClaimState::Claimed, "h", start).refusal == ClaimRefusal::InProgress);
    CHECK(retry(ClaimState::Claimed, "h", start).ran == ClaimRan::Unknown);
    CHECK(retry(ClaimState::Claimed, "h", start + std::chrono::milliseconds(1400)).refusal == ClaimRefusal::InProgress);
    const ClaimStep expired = retry(ClaimState::Claimed, "h", start + std::chrono::milliseconds(1501));
    CHECK(expired.action == ClaimAction::Update);
    CHECK(expired.claim.state == ClaimState::Unknown);
    CHECK(expired.version == 4);
}

// Guards against an owner that dispatches after a pause, and against a claim object that cannot be read back.
TEST_CASE("An attempt that wakes after not_after gives up")
{
    ClaimAttempt attempt(Claim {ClaimState::Claimed, "r", "h", "i", "t", start + std::chrono::seconds(1), {}});
    attempt.start();
    const ClaimStep step = attempt.receive(ClaimWriteResponse {ClaimWriteResult::Written, 3}, start + std::chrono::seconds(1));
    CHECK(step.refusal == ClaimRefusal::DeadlineExceeded);
    CHECK(step.ran == ClaimRan::No);
    CHECK(step.needsRelease);
    CHECK(step.version == 3);
    CHECK(decodeClaim("{}").error().code == "malformed_claim");
    CHECK(decodeClaim("[").error().code == "malformed_claim");
    CHECK_FALSE(doneClaim({}, {200, "", std::string(maximumAnswerBytes + 1, 'x'), false}).answer.hasBody);
    CHECK_FALSE(doneClaim({}, {200, "", "\xff", false}).answer.hasBody);
}
