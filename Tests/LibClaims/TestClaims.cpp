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

/// Store with one claim object and conditional writes.
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
        // The claim is encoded and decoded, as it is on its way from a router to the store.
        this->claim = decodeClaim(encodeClaim(step.claim)).value();
        this->version = ++this->counter;
        return {ClaimWriteResult::Written, this->version};
    }

    ClaimReadResponse read() const
    {
        return this->claim ? ClaimReadResponse {ClaimReadResult::Found, *this->claim, this->version} : ClaimReadResponse {ClaimReadResult::Missing, {}, 0};
    }
};

/// Instance that runs attempts with the same key one after the other. Each call of `performNextStep` performs one step, so that
/// the instance can be paused between any two steps.
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
    std::vector<ClaimStep> finalSteps;
};

/// Simulated store and clock. With faults, a write may not be sent, take effect later, or take effect without a response.
struct Simulation {
    explicit Simulation(std::uint64_t seed) : random(seed)
    {
    }

    bool chance(std::uint64_t percent)
    {
        return this->random() % 100 < percent;
    }

    ClaimWriteResponse write(const ClaimStep &step)
    {
        const std::uint64_t outcome = this->faults ? this->random() % 10 : 9;
        if (outcome == 0) {
            return {ClaimWriteResult::NotSent, 0};
        }
        if (outcome == 1) {
            this->delayedWrites.push_back(step);
            return {ClaimWriteResult::Uncertain, 0};
        }
        const ClaimWriteResponse written = this->store.write(step);
        return outcome == 2 ? ClaimWriteResponse {ClaimWriteResult::Uncertain, 0} : written;
    }

    void applyDelayedWrite()
    {
        if (!this->delayedWrites.empty()) {
            const std::size_t index = this->random() % this->delayedWrites.size();
            this->store.write(this->delayedWrites[index]);
            this->delayedWrites.erase(this->delayedWrites.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    RandomSource random;
    Store store;
    WallTime now = start;
    std::vector<ClaimStep> delayedWrites;
    bool faults = true;
    std::uint64_t refusedConnectionPercent = 10;
    int dispatches = 0;
    int answered = 0;
};

void startAttempt(Simulation &simulation, Instance &instance)
{
    Claim wanted;
    wanted.requestId = instance.name + "-" + std::to_string(instance.attempts++);
    wanted.token = wanted.requestId;
    wanted.owner = instance.name;
    wanted.bodyHash = claimBodyHash("orders", "/deposit", "body");
    wanted.notAfter = simulation.now + instance.clockError + std::chrono::seconds(2);
    instance.attempt.emplace(wanted);
    instance.next = instance.attempt->start();
}

void close(Instance &instance, const Claim &target, std::uint64_t version)
{
    instance.closing.emplace(target, version, instance.attempt->takeoverVersion());
    instance.next = instance.closing->start();
}

void dispatch(Simulation &simulation, Instance &instance)
{
    const ClaimStep step = instance.next;
    if (!mayDispatch(step.claim, simulation.now + instance.clockError) || simulation.chance(simulation.refusedConnectionPercent)) {
        // The claim has expired, or no connection could be opened.
        close(instance, releasedClaim(step.claim), step.version);
        return;
    }
    simulation.dispatches += 1;
    if (simulation.chance(70)) {
        simulation.answered += 1;
        close(instance, doneClaim(step.claim, {200, "text/plain", "ran for " + step.claim.requestId, false}), step.version);
    } else {
        close(instance, unknownClaim(step.claim), step.version);
    }
}

void performNextStep(Simulation &simulation, Instance &instance)
{
    if (!instance.attempt) {
        startAttempt(simulation, instance);
        return;
    }
    const WallTime now = simulation.now + instance.clockError;
    const ClaimStep step = instance.next;
    switch (step.action) {
    case ClaimAction::Create:
    case ClaimAction::Update: {
        const ClaimWriteResponse written = simulation.write(step);
        instance.next = instance.closing ? instance.closing->receive(written) : instance.attempt->receive(written, now);
        return;
    }
    case ClaimAction::Read: {
        const ClaimReadResponse read = simulation.faults && simulation.chance(15) ? ClaimReadResponse {} : simulation.store.read();
        instance.next = instance.closing ? instance.closing->receive(read) : instance.attempt->receive(read, now);
        return;
    }
    case ClaimAction::Dispatch:
        dispatch(simulation, instance);
        return;
    case ClaimAction::Wait:
        instance.next = instance.closing->start();
        return;
    case ClaimAction::Refuse:
        instance.finalSteps.push_back(step);
        if (step.needsRelease) {
            close(instance, releasedClaim(instance.attempt->claim()), step.version);
            return;
        }
        break;
    case ClaimAction::Replay:
        instance.finalSteps.push_back(step);
        break;
    case ClaimAction::Finished:
        break;
    }
    instance.attempt.reset();
    instance.closing.reset();
}

ClaimStep finalRetry(Simulation &simulation)
{
    simulation.faults = false;
    Instance instance("last", Duration(0));
    while (instance.finalSteps.empty()) {
        performNextStep(simulation, instance);
        if (instance.closing) {
            return instance.next;
        }
    }
    return instance.finalSteps.front();
}
} // namespace

// Guards against executing a request with an idempotency key twice, such as a deposit. The interleavings include pauses past
// not_after, deaths of instances, lost responses and writes that take effect late.
TEST_CASE("A key is dispatched at most once in every interleaving")
{
    int dispatched = 0;
    int replayed = 0;
    CHECK(rc::check("random interleavings", [&](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 50; ++run) {
            Simulation simulation(seed * 50 + run);
            std::vector<Instance> instances;
            for (std::uint64_t i = 0; i < 2 + run % 3; ++i) {
                const auto clockError = Duration(static_cast<Duration::rep>(simulation.random() % 500000) - 250000);
                instances.emplace_back("i" + std::to_string(i), clockError);
            }
            for (int stepIndex = 0; stepIndex < 120; ++stepIndex) {
                Instance &instance = instances[simulation.random() % instances.size()];
                performNextStep(simulation, instance);
                simulation.now += std::chrono::milliseconds(simulation.chance(3) ? 3000 : simulation.random() % 40);
                if (simulation.chance(10)) {
                    simulation.applyDelayedWrite();
                }
                if (simulation.chance(2)) {
                    // The process dies and restarts without any state.
                    instance.attempt.reset();
                    instance.closing.reset();
                }
                RC_ASSERT(simulation.dispatches <= 1);
            }
            for (const Instance &instance : instances) {
                for (const ClaimStep &step : instance.finalSteps) {
                    const bool isReplay = step.action == ClaimAction::Replay;
                    replayed += isReplay ? 1 : 0;
                    RC_ASSERT(!isReplay || (simulation.answered == 1 && step.claim.answer.body == "ran for " + step.claim.requestId));
                }
            }
            while (!simulation.delayedWrites.empty()) {
                simulation.applyDelayedWrite();
            }
            dispatched += simulation.dispatches;
            const ClaimStep last = finalRetry(simulation);
            RC_ASSERT(last.action != ClaimAction::Replay || simulation.answered == 1);
            RC_ASSERT(simulation.dispatches <= 1);
        }
    }));
    // The property would hold vacuously if no request were dispatched.
    INFO(dispatched << " dispatches, " << replayed << " replays");
    CHECK(dispatched > 1000);
    CHECK(replayed > 1000);
}

// Guards against a key that stays blocked although no instance has dispatched its request.
TEST_CASE("A key whose claim was released can be claimed again")
{
    Simulation simulation(1);
    simulation.faults = false;
    ClaimAttempt first(Claim {ClaimState::Claimed, "r1", "h", "i1", "t1", start + std::chrono::seconds(1), {}});
    const ClaimStep create = first.start();
    REQUIRE(first.receive(ClaimWriteResponse {ClaimWriteResult::Uncertain, 0}, start).action == ClaimAction::Read);
    const ClaimStep refusal = first.receive(ClaimReadResponse {}, start);
    CHECK(refusal.refusal == ClaimRefusal::StoreUnavailable);
    CHECK(refusal.ran == ClaimRan::No);
    REQUIRE(refusal.needsRelease);
    simulation.store.write(create);
    ClaimClosing closing(releasedClaim(first.claim()), refusal.version, first.takeoverVersion());
    // Only a successful create prevents the uncertain create from taking effect later.
    CHECK(closing.start().action == ClaimAction::Create);
    CHECK(closing.receive(simulation.store.write(closing.start())).action == ClaimAction::Read);
    closing.receive(simulation.store.write(closing.receive(simulation.store.read())));
    CHECK(closing.result() == ClaimClosingResult::Recorded);

    ClaimAttempt second(Claim {ClaimState::Claimed, "r2", "h", "i2", "t2", start + std::chrono::seconds(1), {}});
    second.receive(simulation.store.write(second.start()), start);
    const ClaimStep takeover = second.receive(simulation.store.read(), start);
    REQUIRE(takeover.action == ClaimAction::Update);
    const ClaimStep granted = second.receive(simulation.store.write(takeover), start);
    CHECK(granted.action == ClaimAction::Dispatch);
    CHECK(granted.claim.requestId == "r1");
}

// Guards against a write that takes effect late and blocks the key after every instance has released it.
TEST_CASE("A key whose request no instance dispatched can still be claimed")
{
    CHECK(rc::check("random interleavings", [](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 50; ++run) {
            Simulation simulation(seed * 50 + run);
            simulation.refusedConnectionPercent = 100;
            std::vector<Instance> instances {Instance("i0", Duration(0)), Instance("i1", Duration(0))};
            const auto finishAttempt = [&simulation](Instance &instance) {
                while (instance.attempt) {
                    performNextStep(simulation, instance);
                }
            };
            for (int stepIndex = 0; stepIndex < 40; ++stepIndex) {
                performNextStep(simulation, instances[simulation.random() % 2]);
                if (simulation.chance(10)) {
                    simulation.applyDelayedWrite();
                }
            }
            simulation.faults = false;
            std::ranges::for_each(instances, finishAttempt);
            while (!simulation.delayedWrites.empty()) {
                simulation.applyDelayedWrite();
            }
            simulation.refusedConnectionPercent = 0;
            finalRetry(simulation);
            RC_ASSERT(simulation.dispatches == 1);
        }
    }));
}

// Guards against a wrong action or error for any of the states in which a retry can find the claim.
TEST_CASE("The state of the claim determines the result of a retry")
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

// Guards against an owner that is paused and dispatches after its claim has expired, and against a claim object that cannot
// be encoded or decoded.
TEST_CASE("An attempt does not dispatch after not_after")
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
