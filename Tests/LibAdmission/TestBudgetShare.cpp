#include "LibAdmission/BudgetShare.h"
#include "LibAdmission/SpendPlan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <optional>

using namespace Godwitfork;

namespace
{
constexpr Microunits budget = 10'000;
constexpr MonotonicTime start {std::chrono::hours(1)};

struct Instance {
    BudgetShare share;
    std::vector<Microunits> inFlight;
    bool isDead = false;
    bool isPaused = false;
};

/// Conditional write that the store has received and not yet applied.
struct DelayedWrite {
    std::uint64_t baseVersion = 0;
    BudgetObject object;
};

/// Simulated store and instances, with the real spend of all requests.
struct Simulation {
    BudgetObject object;
    std::uint64_t version = 1;
    std::vector<DelayedWrite> delayed;
    std::vector<Instance> instances;
    int incarnations = 0;
    MonotonicTime now = start;
    Microunits realSpend = 0;
    /// Bound of the overspend that `BudgetShare` states: costs above reservations, and reservations that were settled after their share had
    /// expired.
    Microunits permittedOverspend = 0;

    void startInstance()
    {
        Instance instance;
        instance.share.incarnation = "i" + std::to_string(this->incarnations++);
        this->instances.push_back(instance);
    }

    bool apply(const DelayedWrite &write)
    {
        if (write.baseVersion != this->version) {
            return false;
        }
        this->object = parseBudgetObject(toJson(write.object)).value();
        ++this->version;
        return true;
    }

    void update(Instance &instance, int outcome)
    {
        BudgetShare &share = instance.share;
        adoptObject(share, this->object, this->version);
        const DelayedWrite write {this->version, startUpdate(share, this->object, this->version, budget, wantedShare(share, 0, 900), this->now)};
        // 0: the write is applied and answered; 1: it is applied and its answer is lost; 2: it is lost; 3: it is applied later, unless another
        // write is applied before.
        if (outcome == 0 && this->apply(write)) {
            adoptObject(share, this->object, this->version);
        } else if (outcome == 1) {
            this->apply(write);
        } else if (outcome == 3) {
            this->delayed.push_back(write);
        }
    }

    void finishRequest(Instance &instance, Microunits excess)
    {
        if (instance.inFlight.empty()) {
            return;
        }
        const Microunits reservation = instance.inFlight.back();
        instance.inFlight.pop_back();
        settle(instance.share, reservation, reservation + excess);
        this->realSpend += reservation + excess;
        this->permittedOverspend += excess + (this->now >= instance.share.expires ? reservation : 0);
    }

    /// Settles the ledger of the instance as a peer that considers it dead. Requests in flight of a dead instance are interrupted and cost
    /// nothing. An instance that is alive but unreachable for the peer updates its share meanwhile.
    void settleLedger(Instance &instance)
    {
        const auto entry = this->object.shares.find(instance.share.incarnation);
        if (entry == this->object.shares.end()) {
            return;
        }
        const std::uint64_t sequence = entry->second.sequence;
        const Microunits ledgerSpent = instance.share.spent;
        this->now += BudgetShare::lease;
        if (!instance.isDead && !instance.isPaused) {
            this->update(instance, 0);
        }
        auto write = this->delayed.empty() ? std::optional<DelayedWrite>() : this->delayed.back();
        if (write) {
            this->apply(*write);
        }
        const auto updated = returnDeadShare(this->object, instance.share.incarnation, sequence, ledgerSpent);
        if (updated) {
            this->apply({this->version, updated.value()});
        }
    }

    void step(int kind, std::size_t index, Microunits amount)
    {
        Instance &instance = this->instances[index % this->instances.size()];
        this->now += std::chrono::milliseconds(amount);
        const bool isRunning = !instance.isDead && !instance.isPaused;
        if (kind < 4 && isRunning) {
            this->update(instance, kind);
        } else if (kind < 8 && isRunning && reserve(instance.share, amount, this->now)) {
            instance.inFlight.push_back(amount);
        } else if (kind < 11 && isRunning) {
            this->finishRequest(instance, amount % 7 == 0 ? 5 : 0);
        } else if (kind == 11) {
            instance.isDead = true;
            instance.inFlight.clear();
            this->startInstance();
        } else if (kind == 12 && !instance.isDead) {
            instance.isPaused = !instance.isPaused;
        } else if (kind == 13) {
            this->settleLedger(instance);
        } else if (kind == 14 && !this->delayed.empty()) {
            this->apply(this->delayed.back());
            this->delayed.pop_back();
        }
    }
};
} // namespace

// Guards against overspend when instances die, restart or are paused for longer than their lease, and when answers of the store are lost
// or writes are applied late.
TEST_CASE("Spend and granted shares never exceed the budget by more than the stated bound")
{
    CHECK(rc::check([] {
        Simulation simulation;
        for (int i = 0; i < 4; ++i) {
            simulation.startInstance();
        }
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
            400, rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange<std::size_t>(0, 50), rc::gen::inRange(1, 600)));
        for (const auto &[kind, index, amount] : steps) {
            simulation.step(kind, index, amount);
            RC_ASSERT(simulation.realSpend <= budget + simulation.permittedOverspend);
            RC_ASSERT(simulation.object.spent + grantedSum(simulation.object) <= budget + simulation.permittedOverspend);
        }
        // After all instances are settled, the object contains the real spend, and the spend of no instance is lost.
        for (Instance &instance : simulation.instances) {
            if (instance.isDead) {
                simulation.settleLedger(instance);
            } else {
                simulation.delayed.clear();
                instance.inFlight.clear();
                instance.share.reserved = 0;
                simulation.update(instance, 0);
            }
        }
        Microunits unsettled = 0;
        for (const Instance &instance : simulation.instances) {
            const bool hasEntry = simulation.object.shares.count(instance.share.incarnation) > 0;
            unsettled += hasEntry ? 0 : instance.share.spent;
        }
        RC_ASSERT(unsettled == 0);
        RC_ASSERT(simulation.object.spent == simulation.realSpend);
    }));
}

// Guards against an instance that spends a share although the update that granted it may have failed.
TEST_CASE("While an update is unanswered, only the amount that both of its outcomes permit is available")
{
    BudgetShare share;
    share.incarnation = "a";
    const BudgetObject first = startUpdate(share, {}, 1, budget, 500, start);
    CHECK_FALSE(reserve(share, 1, start));
    adoptObject(share, first, 2);
    CHECK(availableAmount(share, start) == 500);
    startUpdate(share, first, 2, 300, 500, start);
    CHECK(availableAmount(share, start) == 300);
    CHECK(availableAmount(share, start + BudgetShare::lease) == 0);
}

// Guards against a share that is granted twice because its instance is alive but unreachable for its peers.
TEST_CASE("A share that its instance has updated since it was read is not returned")
{
    BudgetShare share;
    share.incarnation = "a";
    const BudgetObject first = startUpdate(share, {}, 1, budget, 500, start);
    const BudgetObject second = startUpdate(share, first, 2, budget, 500, start);
    const auto refused = returnDeadShare(second, "a", first.shares.at("a").sequence, 0);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == "share_in_use");
    const auto returned = returnDeadShare(second, "a", second.shares.at("a").sequence, 120);
    CHECK(returned.value().spent == 120);
    CHECK(grantedSum(returned.value()) == 0);
}

// Guards against a manually edited, malformed budget object that is read as one without spend, so that the budget is granted again.
TEST_CASE("A malformed budget object is refused")
{
    CHECK(parseBudgetObject(R"({"spent":5,"shares":{"a":{"spent":1,"granted":2,"sequence":3}}})").value().shares.at("a").granted == 2);
    for (const char *text : {"", "{}", R"({"spent":"5","shares":{}})", R"({"spent":5,"shares":{"a":{"spent":1}}})"}) {
        CHECK_FALSE(parseBudgetObject(text));
    }
}

// Guards against a month's budget that is spent in the first days.
TEST_CASE("The spend ceiling follows the plan and never exceeds the plan's amount")
{
    const WallTime begin {std::chrono::hours(480'000)};
    SpendPlan plan {720'000, begin, begin + std::chrono::hours(720)};
    CHECK(plannedSpend(plan, begin + std::chrono::hours(360)) == 360'000);
    CHECK(spendCeiling(plan, begin, std::chrono::hours(1)) == 1000);
    CHECK(spendCeiling(plan, begin + std::chrono::hours(720), std::chrono::hours(1)) == 720'000);
    CHECK(spentToPlannedRatio(plan, 180'000, begin + std::chrono::hours(360)) == Approx(0.5));
    for (std::size_t i = 0; i < plan.hourWeights.size(); ++i) {
        plan.hourWeights[i] = i % 24 < 12 ? 0 : 1;
    }
    CHECK(plannedSpend(plan, begin + std::chrono::hours(12)) == 0);
    CHECK(plannedSpend(plan, begin + std::chrono::hours(24)) == 24'000);
}
