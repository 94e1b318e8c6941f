#include "LibCore/MemoryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <vector>

using namespace Godwitfork;

namespace
{
constexpr std::size_t capacity = 1000;

MemoryLimits smallLimits()
{
    MemoryLimits limits;
    limits.capacity = capacity;
    limits.smallItem = 20;
    limits.smallPart = 200;
    limits.answerPart = 300;
    limits.accountBodies = 300;
    return limits;
}

struct Item {
    MemoryUse use;
    std::string client;
    MemoryReservation reservation;
};
} // namespace

// Guards against a process that holds more than its memory allows, or that counts bytes nobody holds any more.
TEST_CASE("Any order of demands stays within the limits, and everything is released")
{
    rc::check([] {
        const MemoryLimits limits = smallLimits();
        MemoryBudget budget(limits);
        std::vector<Item> items;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const int action = *rc::gen::inRange(0, 4);
            if (action == 0 || items.empty()) {
                const MemoryUse use = *rc::gen::elementOf(std::vector<MemoryUse>(memoryUses.begin(), memoryUses.end()));
                const std::string client = *rc::gen::elementOf(std::vector<std::string> {"", "a", "b"});
                items.push_back({use, client, budget.open(use, client)});
            } else if (action == 1) {
                std::swap(items[*rc::gen::inRange<std::size_t>(0, items.size())], items.back());
                items.pop_back();
            } else {
                Item &item = items[*rc::gen::inRange<std::size_t>(0, items.size())];
                const std::size_t before = item.reservation.size();
                const std::size_t size = *rc::gen::inRange<std::size_t>(0, 2 * capacity);
                const bool isSmall = *rc::gen::inRange(0, 2) == 0;
                const std::size_t newSize = isSmall ? size % (limits.smallItem + 1) : size;
                const bool isHeld = item.reservation.resize(newSize);
                RC_ASSERT(item.reservation.size() == (isHeld ? newSize : before));
                RC_ASSERT(isHeld || newSize > before);
            }
            std::size_t total = 0;
            std::size_t large = 0;
            std::size_t largeBodies = 0;
            std::map<std::string, std::size_t> bodies;
            std::map<MemoryUse, std::size_t> uses;
            for (const Item &item : items) {
                const std::size_t size = item.reservation.size();
                const bool isLarge = size > limits.smallItem;
                total += size;
                uses[item.use] += size;
                large += isLarge ? size : 0;
                largeBodies += isLarge && item.use == MemoryUse::RequestBody ? size : 0;
                bodies[item.client] += isLarge && item.use == MemoryUse::RequestBody ? size : 0;
            }
            RC_ASSERT(budget.held() == (MemoryHeld {total, large, largeBodies}));
            for (const MemoryUse use : memoryUses) {
                RC_ASSERT(budget.held(use) == uses[use]);
            }
            RC_ASSERT(total <= limits.capacity);
            RC_ASSERT(budget.peak() <= limits.capacity);
            RC_ASSERT(large <= limits.capacity - limits.smallPart);
            RC_ASSERT(largeBodies <= limits.capacity - limits.smallPart - limits.answerPart);
            for (const auto &[client, size] : bodies) {
                RC_ASSERT(size <= limits.accountBodies);
            }
        }
        items.clear();
        RC_ASSERT(budget.held() == MemoryHeld {});
    });
}

// Guards against large bodies that keep small ones out.
TEST_CASE("Small items find room while large ones take all that they may")
{
    MemoryBudget budget(smallLimits());
    std::vector<MemoryReservation> held;
    for (const char *client : {"a", "b", "c", "d"}) {
        for (const MemoryUse use : memoryUses) {
            for (std::size_t i = 0; i < capacity / 50; ++i) {
                held.push_back(budget.open(use, client));
                held.back().resize(50);
            }
        }
    }
    CHECK(budget.held().large == 800);
    for (int i = 0; i < 10; ++i) {
        held.push_back(budget.open(MemoryUse::RequestBody, "a"));
        CHECK(held.back().resize(20));
    }
    CHECK(budget.held().total == capacity);
}

// Guards against one client account whose bodies keep those of all others out, and against bodies that leave no room for their answers.
TEST_CASE("One client account cannot take the room of another, nor bodies the room of answers")
{
    MemoryBudget budget(smallLimits());
    std::vector<MemoryReservation> held;
    for (const char *client : {"a", "b", "c"}) {
        for (int i = 0; i < 100; ++i) {
            held.push_back(budget.open(MemoryUse::RequestBody, client));
            held.back().resize(50);
        }
    }
    CHECK(budget.held(MemoryUse::RequestBody) == 500);
    CHECK(budget.refusals(MemoryUse::RequestBody) == 290);
    MemoryReservation answer = budget.open(MemoryUse::Answer, "a");
    CHECK(answer.resize(300));
    CHECK_FALSE(answer.resize(301));
    held.clear();
    CHECK(budget.held() == (MemoryHeld {300, 300, 0}));
}

TEST_CASE("A reservation outlives its budget and may be moved")
{
    MemoryReservation outer;
    {
        MemoryBudget budget(smallLimits());
        MemoryReservation inner = budget.open(MemoryUse::Answer, "");
        CHECK(inner.resize(100));
        outer = std::move(inner);
        CHECK(budget.held().total == 100);
    }
    CHECK(outer.resize(200));
    CHECK_FALSE(outer.resize(capacity));
}

// Guards against connections and bodies that leave no room for the answers to requests that have run, and against one address that takes all.
TEST_CASE("Connections and bodies leave the answers' part free, and one client leaves room for others")
{
    MemoryLimits limits = smallLimits();
    limits.clientPart = 400;
    MemoryBudget budget(limits);
    std::vector<MemoryReservation> held;
    const auto fill = [&](MemoryUse use, const std::string &client) {
        for (int i = 0; i < 100; ++i) {
            held.push_back(budget.open(use, client));
            held.back().resize(10);
        }
    };
    fill(MemoryUse::Connection, "a");
    CHECK(budget.held(MemoryUse::Connection) == 400);
    fill(MemoryUse::RequestBody, "b");
    CHECK(budget.held().total == 700);
    fill(MemoryUse::Connection, "c");
    CHECK(budget.held().total == 700);
    MemoryReservation answer = budget.open(MemoryUse::Answer, "a");
    CHECK(answer.resize(300));
}

// Guards against a demand that closes connections whose memory does not help it.
TEST_CASE("A demand that finds no room asks for relief as long as that helps")
{
    MemoryBudget budget(smallLimits());
    std::vector<MemoryReservation> held;
    std::vector<MemoryShortage> shortages;
    budget.addRelief([&](MemoryShortage shortage, MemoryUse use, const std::string &client) {
        shortages.push_back(shortage);
        CHECK(use == MemoryUse::RequestBody);
        CHECK(client == "b");
        if (held.empty()) {
            return false;
        }
        held.pop_back();
        return true;
    });
    for (int i = 0; i < 3; ++i) {
        held.push_back(budget.open(MemoryUse::RequestBody, "a"));
        REQUIRE(held.back().resize(100));
    }
    MemoryReservation body = budget.open(MemoryUse::RequestBody, "b");
    CHECK(body.resize(300));
    CHECK(shortages == std::vector<MemoryShortage> {MemoryShortage::ProcessLarge});
    CHECK(held.size() == 2);
    shortages.clear();
    CHECK_FALSE(body.resize(301));
    CHECK(shortages.empty());
    MemoryReservation other = budget.open(MemoryUse::RequestBody, "b");
    CHECK_FALSE(other.resize(50));
    CHECK(shortages.front() == MemoryShortage::ClientLarge);
    CHECK(held.empty());
    CHECK(budget.refusals(MemoryUse::RequestBody) == 2);
}
