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

/// A write that the store has received and not yet decided.
struct DelayedWrite {
    std::uint64_t baseVersion = 0;
    BudgetObject object;
};

/// Store, instances and the true sums.
struct World {
    BudgetObject object;
    std::uint64_t version = 1;
    std::vector<DelayedWrite> delayed;
    std::vector<Instance> instances;
    int incarnations = 0;
    MonotonicTime now = start;
    Microunits realSpend = 0;
    /// Cost above reservations, and reservations that outlived their share: the stated bound.
    Microunits bound = 0;

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

    void update(Instance &instance, int fate)
    {
        BudgetShare &share = instance.share;
        adoptObject(share, this->object, this->version);
        const DelayedWrite write {this->version, startUpdate(share, this->object, this->version, budget, wantedShare(share, 0, 900), this->now)};
        // 0: answered; 1: takes effect, answer lost; 2: lost; 3: takes effect later, if nothing else came before.
        if (fate == 0 && this->apply(write)) {
            adoptObject(share, this->object, this->version);
        } else if (fate == 1) {
            this->apply(write);
        } else if (fate == 3) {
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
        this->bound += excess + (this->now >= instance.share.expires ? reservation : 0);
    }

    /// A peer that considers the instance dead settles its ledger: requests in flight of a dead instance are interrupted
    /// and cost nothing. An instance that only the peer cannot hear goes on meanwhile.
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

// Guards against overspend when instances die, restart or pause past their lease, and when the store's answers are lost
// or its writes take effect late.
TEST_CASE("Spend and shares never pass the budget by more than the stated bound")
{
    CHECK(rc::check([] {
        World world;
        for (int i = 0; i < 4; ++i) {
            world.startInstance();
        }
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
            400, rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange<std::size_t>(0, 50), rc::gen::inRange(1, 600)));
        for (const auto &[kind, index, amount] : steps) {
            world.step(kind, index, amount);
            RC_ASSERT(world.realSpend <= budget + world.bound);
            RC_ASSERT(world.object.spent + grantedSum(world.object) <= budget + world.bound);
        }
        // After everything is settled, the object holds the true spend and no share is lost.
        for (Instance &instance : world.instances) {
            if (instance.isDead) {
                world.settleLedger(instance);
            } else {
                world.delayed.clear();
                instance.inFlight.clear();
                instance.share.reserved = 0;
                world.update(instance, 0);
            }
        }
        Microunits unsettled = 0;
        for (const Instance &instance : world.instances) {
            const bool isKnown = world.object.shares.count(instance.share.incarnation) > 0;
            unsettled += isKnown ? 0 : instance.share.spent;
        }
        RC_ASSERT(unsettled == 0);
        RC_ASSERT(world.object.spent == world.realSpend);
    }));
}

// Guards against an instance that spends a share whose grant it cannot know to have failed.
TEST_CASE("An update without an answer permits only what both outcomes permit")
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

// Guards against granting a share twice, when its instance lives but its peers cannot hear it.
TEST_CASE("The share of an instance that has updated it since is not returned")
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

// Guards against a budget object damaged by hand that is read as an empty budget, which would grant it again.
TEST_CASE("A malformed budget object is refused")
{
    CHECK(parseBudgetObject(R"({"spent":5,"shares":{"a":{"spent":1,"granted":2,"sequence":3}}})").value().shares.at("a").granted == 2);
    for (const char *text : {"", "{}", R"({"spent":"5","shares":{}})", R"({"spent":5,"shares":{"a":{"spent":1}}})"}) {
        CHECK_FALSE(parseBudgetObject(text));
    }
}

// Guards against a month's budget that is gone in its first days.
TEST_CASE("The spend ceiling follows the plan and ends at its amount")
{
    const WallTime begin {std::chrono::hours(480'000)};
    SpendPlan plan {720'000, begin, begin + std::chrono::hours(720)};
    CHECK(plannedSpend(plan, begin + std::chrono::hours(360)) == 360'000);
    CHECK(spendCeiling(plan, begin, std::chrono::hours(1)) == 1000);
    CHECK(spendCeiling(plan, begin + std::chrono::hours(720), std::chrono::hours(1)) == 720'000);
    CHECK(paceRatio(plan, 180'000, begin + std::chrono::hours(360)) == Approx(0.5));
    for (std::size_t i = 0; i < plan.hourWeights.size(); ++i) {
        plan.hourWeights[i] = i % 24 < 12 ? 0 : 1;
    }
    CHECK(plannedSpend(plan, begin + std::chrono::hours(12)) == 0);
    CHECK(plannedSpend(plan, begin + std::chrono::hours(24)) == 24'000);
}
