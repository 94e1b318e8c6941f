#include "LibLedger/Bill.h"
#include "LibLedger/Journal.h"
#include "LibLedger/JournalReplicas.h"
#include "Records.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <numeric>
#include <ranges>
#include <variant>

using namespace Godwitfork;

namespace
{
const WallTime admitted {std::chrono::hours(498000)};

struct Message {
    std::string from;
    std::string to;
    std::variant<JournalAppend, JournalDrop, JournalAck> body;
};

/// One owner, several keepers and a store, with a network that loses, repeats and reorders messages.
class World
{
public:
    World(std::uint64_t seed, int keepers, JournalSettings settings = {}) : random(seed)
    {
        for (int i = 0; i < keepers; ++i) {
            const std::string name = "k" + std::to_string(i);
            this->replicas[name];
            this->journals.emplace(name, Journal(name, "b", {}));
        }
        this->journals.emplace("owner", Journal("owner", "a", settings));
        this->sharePeers();
    }

    void sharePeers()
    {
        for (auto &[name, journal] : this->journals) {
            std::vector<JournalPeer> peers;
            for (const auto &[other, ignored] : this->journals) {
                if (other != name && !this->dead.contains(other)) {
                    peers.push_back({other, other == "owner" ? "a" : "b"});
                }
            }
            journal.updatePeers(peers, this->now);
        }
    }

    Journal &owner()
    {
        return this->journals.at("owner");
    }

    bool ownerLives() const
    {
        return !this->dead.contains("owner");
    }

    void carryOut(const std::string &name)
    {
        if (this->dead.contains(name)) {
            return;
        }
        JournalActions actions = this->journals.at(name).advance(this->now);
        for (auto &append : actions.appends) {
            this->network.push_back({name, append.holder, append.message});
        }
        for (auto &drop : actions.drops) {
            this->network.push_back({name, drop.holder, drop.message});
        }
        for (auto &write : actions.writes) {
            this->writes.emplace_back(name, write);
        }
        const std::set<std::string> reduced(actions.reducedReplication.begin(), actions.reducedReplication.end());
        for (const std::string &id : actions.durable) {
            this->durable.insert(id);
            if (reduced.contains(id)) {
                this->reduced.insert(id);
            }
        }
    }

    void carryOutAll()
    {
        for (const auto &[name, journal] : this->journals) {
            this->carryOut(name);
        }
    }

    /// Delivers one message, out of order if `reorder`.
    void deliver(bool reorder, bool repeat, bool lose)
    {
        if (this->network.empty()) {
            return;
        }
        const std::size_t index = reorder ? this->random() % this->network.size() : 0;
        const Message message = this->network[index];
        if (!repeat) {
            this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (!lose && !this->dead.contains(message.to)) {
            this->receive(message);
        }
    }

    void receive(const Message &message)
    {
        if (const auto *ack = std::get_if<JournalAck>(&message.body)) {
            this->journals.at(message.to).receiveAck(message.from, *ack);
            this->carryOut(message.to);
            return;
        }
        JournalReplicas &replica = this->replicas[message.to];
        const auto *append = std::get_if<JournalAppend>(&message.body);
        const auto reply = append != nullptr ? replica.receive(*append) : replica.receive(std::get<JournalDrop>(message.body));
        if (reply) {
            this->network.push_back({message.to, message.from, *reply});
        }
    }

    /// Performs one store write; it may fail, or take effect while its answer is lost.
    void write(bool takesEffect, bool answerArrives)
    {
        if (this->writes.empty()) {
            return;
        }
        const auto [name, batch] = this->writes.front();
        this->writes.pop_front();
        if (this->dead.contains(name) && !takesEffect) {
            return;
        }
        if (takesEffect) {
            const auto [object, created] = this->store.emplace(batch.name, batch.records);
            RC_ASSERT(object->second.size() == batch.records.size());
        }
        if (!this->dead.contains(name)) {
            const auto result = takesEffect && answerArrives ? BatchWriteResult::Stored : BatchWriteResult::Failed;
            this->journals.at(name).finishWrite(batch.name, result, this->now, this->random);
            this->carryOut(name);
        }
    }

    void recover(const std::string &holder)
    {
        if (!this->dead.contains(holder)) {
            this->journals.at(holder).adopt(this->replicas[holder].recover("owner"));
            this->carryOut(holder);
        }
    }

    /// Ends all faults and lets the survivors finish.
    void heal()
    {
        if (this->ownerLives()) {
            this->owner().requestFlush();
        }
        for (int round = 0; round < 50; ++round) {
            this->now += std::chrono::seconds(11);
            for (const auto &[holder, replica] : this->replicas) {
                if (!this->ownerLives()) {
                    this->recover(holder);
                }
            }
            this->carryOutAll();
            while (!this->network.empty()) {
                this->deliver(false, false, false);
            }
            while (!this->writes.empty()) {
                this->write(true, true);
            }
        }
    }

    RecordSet stored() const
    {
        RecordSet set;
        for (const auto &[name, records] : this->store) {
            for (const SharedRecord &record : records) {
                set.add(*record);
            }
        }
        return set;
    }

    RandomSource random;
    MonotonicTime now {};
    std::map<std::string, Journal> journals;
    std::map<std::string, JournalReplicas> replicas;
    std::set<std::string> dead;
    std::deque<Message> network;
    std::deque<std::pair<std::string, LedgerBatch>> writes;
    std::map<std::string, std::vector<SharedRecord>> store;
    std::set<std::string> durable;
    std::set<std::string> reduced;
    std::map<std::string, Microunits> billed;
    std::vector<std::string> open;
};

void startOrFinishRequest(World &world)
{
    if (!world.ownerLives()) {
        return;
    }
    if (world.open.empty() || world.random() % 2 == 0) {
        const std::string id = makeRequestId(admitted + std::chrono::seconds(world.random() % 7200), world.random);
        world.owner().open({id, "ljungberg", "norrland"}, world.now);
        world.open.push_back(id);
    } else {
        const std::size_t index = world.random() % world.open.size();
        const std::string id = world.open[index];
        world.open.erase(world.open.begin() + static_cast<std::ptrdiff_t>(index));
        world.billed[id] = static_cast<Microunits>(1 + world.random() % 1000);
        world.owner().append(completedRecord(id, world.billed[id]), world.now);
    }
    world.carryOut("owner");
}

void kill(World &world, const std::string &name, bool noticed)
{
    world.dead.insert(name);
    if (noticed) {
        world.sharePeers();
        world.carryOutAll();
    }
}

/// Weights of the random inputs, in thousandths; the rest is spent on requests.
struct Weights {
    std::uint64_t deliver;
    std::uint64_t lose;
    std::uint64_t pass;
    std::uint64_t jump;
    std::uint64_t write;
    std::uint64_t suspect;
};

void step(World &world, bool storeUp, const Weights &weights)
{
    std::uint64_t choice = world.random() % 1000;
    const auto chosen = [&choice](std::uint64_t weight) {
        const bool hit = choice < weight;
        choice -= hit ? 0 : weight;
        return hit;
    };
    if (chosen(weights.deliver)) {
        world.deliver(world.random() % 8 == 0, world.random() % 10 == 0, world.random() % 1000 < weights.lose);
    } else if (chosen(weights.pass)) {
        world.now += std::chrono::milliseconds(1 + world.random() % 20);
        world.carryOutAll();
    } else if (chosen(weights.jump)) {
        world.now += std::chrono::milliseconds(world.random() % 6000);
        world.carryOutAll();
    } else if (chosen(weights.write)) {
        world.write(storeUp && world.random() % 6 != 0, world.random() % 6 != 0);
    } else if (chosen(weights.suspect)) {
        // A keeper may wrongly consider the owner dead, and membership may be reported again.
        world.recover("k" + std::to_string(world.random() % world.replicas.size()));
        world.sharePeers();
        world.carryOutAll();
    } else {
        startOrFinishRequest(world);
    }
}

/// What must hold after the survivors have settled everything.
void checkBilling(const World &world)
{
    std::map<std::string, Microunits> completed;
    for (const auto &[name, records] : world.store) {
        for (const SharedRecord &record : records) {
            const bool isCompleted = record->outcome() == RequestOutcome::Completed;
            RC_ASSERT(record->amount() == (isCompleted ? world.billed.at(record->requestId()) : 0));
            if (isCompleted) {
                completed[record->requestId()] = record->amount();
            }
        }
    }
    const Bill bill = world.stored().bill("ljungberg", {WallTime::min(), WallTime::max()});
    const auto values = std::views::values(completed);
    RC_ASSERT(bill.amount == std::accumulate(values.begin(), values.end(), Microunits {0}));
    RC_ASSERT(bill.requests <= static_cast<std::int64_t>(world.billed.size() + world.open.size()));
    for (const std::string &id : world.durable) {
        // Reduced replication is the documented exception: one keeper and no store, and then both processes die.
        const bool exempt = world.reduced.contains(id) && world.dead.size() == 2;
        const bool present = completed.contains(id) || exempt;
        RC_ASSERT(present);
    }
    if (world.ownerLives()) {
        RC_ASSERT(completed.size() == world.billed.size());
        RC_ASSERT(world.durable.size() == world.billed.size());
    }
}
} // namespace

// Guards against losing a record whose caller saw the end of its response, and against billing an identity twice, while
// at most the owner and one keeper die and messages and answers to writes are lost, repeated and reordered.
TEST_CASE("No durable record is lost and none is billed twice")
{
    std::size_t durable = 0;
    std::size_t ownerDeaths = 0;
    CHECK(rc::check("long interleavings", [&](std::uint64_t seed) {
        World world(seed, 2 + static_cast<int>(seed % 4));
        const bool storeUp = world.random() % 3 != 0;
        const std::size_t ownerDeath = world.random() % 1600;
        const std::size_t keeperDeath = world.random() % 1600;
        for (std::size_t i = 0; i < 800; ++i) {
            step(world, storeUp, {350, 40, 150, 30, 130, 20});
            if (i == keeperDeath) {
                kill(world, "k0", seed % 2 == 0);
            }
            if (i == ownerDeath) {
                kill(world, "owner", true);
            }
        }
        world.heal();
        checkBilling(world);
        durable += world.durable.size();
        ownerDeaths += world.ownerLives() ? 0 : 1;
    }));
    // The property would hold vacuously if nothing became durable or no owner died.
    INFO(durable << " durable records, " << ownerDeaths << " owner deaths");
    CHECK(durable > 1000);
    CHECK(ownerDeaths > 10);
}

// Guards against an acknowledgement that covers an entry which one of the keepers lacks: the owner and a keeper die while
// messages are in flight and before the store has anything.
TEST_CASE("Durable records survive the owner and any one keeper dying at once")
{
    // Short intervals bring flushes and the return of a slow keeper into the few steps of a run.
    JournalSettings settings;
    settings.flushInterval = std::chrono::milliseconds(20);
    settings.slowPeerPause = std::chrono::milliseconds(30);
    // Small messages and windows split a first append of a term into several.
    settings.messageLimitBytes = 600;
    settings.windowBytes = 1500;
    std::size_t durable = 0;
    CHECK(rc::check("short interleavings", [&](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 40; ++run) {
            World world(seed * 40 + run, 2 + static_cast<int>(run % 4), settings);
            const std::size_t steps = 20 + world.random() % 200;
            for (std::size_t i = 0; i < steps; ++i) {
                step(world, true, {480, 150, 150, 0, 40, 2});
            }
            kill(world, "owner", false);
            kill(world, "k" + std::to_string(world.random() % world.replicas.size()), true);
            world.heal();
            checkBilling(world);
            durable += world.durable.size();
        }
    }));
    INFO(durable << " durable records");
    CHECK(durable > 5000);
}

// Guards against a keeper that acknowledges past a lost message, and one that lets a late release of an earlier term
// empty its present replica.
TEST_CASE("A keeper accepts no gap and no message of an earlier term")
{
    RandomSource random(4);
    const auto entry = [&random](std::uint64_t sequence) { return recordEntry(sequence, completedRecord(makeRequestId(admitted, random), 1)); };
    JournalReplicas replicas;
    CHECK(replicas.receive(JournalAppend {"owner", 2, 0, 1, {entry(1)}, true}) == JournalAck {"owner", 2, 1, ReplicaRelease::Keep});
    CHECK(replicas.receive(JournalAppend {"owner", 2, 2, 3, {entry(3)}, true}) == JournalAck {"owner", 2, 1, ReplicaRelease::Keep});
    CHECK(replicas.receive(JournalAppend {"owner", 3, 2, 3, {entry(3)}, true}) == JournalAck {"owner", 3, 0, ReplicaRelease::Keep});
    CHECK_FALSE(replicas.receive(JournalAppend {"owner", 1, 0, 5, {entry(5)}, true}));
    CHECK(replicas.receive(JournalDrop {"owner", 1, 0, ReplicaRelease::Release}) == JournalAck {"owner", 1, 0, ReplicaRelease::Release});
    CHECK(replicas.recover("owner").size() == 1);
}

// Guards against an end of response that waits for the store although two keepers hold the record, and the reverse.
TEST_CASE("A record is durable once both keepers have acknowledged it")
{
    World world(1, 3);
    world.carryOut("owner");
    const std::string id = makeRequestId(admitted, world.random);
    world.owner().append(completedRecord(id, 5), world.now);
    world.carryOut("owner");
    CHECK(world.network.empty());
    world.now += std::chrono::milliseconds(1);
    world.carryOut("owner");
    REQUIRE(world.network.size() == 2);
    world.deliver(false, false, false);
    world.deliver(false, false, false);
    world.deliver(false, false, false);
    CHECK(world.durable.empty());
    world.deliver(false, false, false);
    CHECK(world.durable.contains(id));
    CHECK(world.writes.empty());
}

// Guards against a frozen keeper holding up every response.
TEST_CASE("A silent keeper is replaced after 50 ms and the replacement receives everything")
{
    World world(2, 3);
    world.owner().append(completedRecord(makeRequestId(admitted, world.random), 5), world.now);
    const auto before = world.owner().keepers();
    world.now += std::chrono::milliseconds(1);
    world.carryOut("owner");
    world.network.clear();
    world.now += std::chrono::milliseconds(51);
    world.carryOut("owner");
    REQUIRE(world.network.size() == 1);
    CHECK(world.network.front().to != before[0]);
    CHECK(world.network.front().to != before[1]);
    CHECK(std::get<JournalAppend>(world.network.front().body).entries.size() == 1);
}

// Guards against dropping the copy of a replaced keeper while its successor holds nothing, and against counting an
// acknowledgement of an earlier term.
TEST_CASE("A replaced keeper is released once its successor has acknowledged")
{
    RandomSource random(6);
    Journal journal("owner", "a", {});
    const auto at = [](int milliseconds) { return MonotonicTime(std::chrono::milliseconds(milliseconds)); };
    const auto flush = [&](int milliseconds) {
        journal.append(completedRecord(makeRequestId(admitted, random), 1), at(milliseconds));
        journal.requestFlush();
        for (const LedgerBatch &batch : journal.advance(at(milliseconds)).writes) {
            journal.finishWrite(batch.name, BatchWriteResult::Stored, at(milliseconds), random);
        }
        return journal.advance(at(milliseconds)).drops;
    };
    journal.updatePeers({{"k0", "b"}, {"k1", "b"}, {"k2", "b"}}, at(0));
    const std::string id = makeRequestId(admitted, random);
    journal.append(completedRecord(id, 1), at(0));
    const auto first = journal.advance(at(1)).appends;
    REQUIRE(first.size() == 2);
    journal.receiveAck(first[0].holder, {"owner", first[0].message.term, 1, ReplicaRelease::Keep});
    const auto replacement = journal.advance(at(60)).appends;
    REQUIRE(replacement.size() == 1);
    journal.receiveAck(replacement[0].holder, {"owner", first[1].message.term, 1, ReplicaRelease::Keep});
    CHECK(journal.advance(at(60)).durable.empty());
    for (const AddressedDrop &drop : flush(61)) {
        CHECK(drop.message.release == ReplicaRelease::Keep);
    }
    journal.receiveAck(replacement[0].holder, {"owner", replacement[0].message.term, 1, ReplicaRelease::Keep});
    const auto drops = flush(62);
    REQUIRE(drops.size() == 3);
    CHECK(drops[2].holder == first[1].holder);
    CHECK(drops[2].message.release == ReplicaRelease::Release);
}

// Guards against accepting work that no other process could bill, and against growing without bound in an outage.
TEST_CASE("Admission ends without a replica and at the memory limit")
{
    RandomSource random(3);
    JournalSettings settings;
    settings.memoryLimitBytes = 1000;
    Journal journal("owner", "a", settings);
    CHECK(journal.admission(0) == JournalAdmission::Accepted);
    CHECK(journal.admission(1001) == JournalAdmission::MemoryLimit);
    journal.append(completedRecord(makeRequestId(admitted, random), 5), {});
    const auto writes = journal.advance({}).writes;
    REQUIRE(writes.size() == 1);
    journal.finishWrite(writes.front().name, BatchWriteResult::Failed, {}, random);
    CHECK(journal.admission(0) == JournalAdmission::NoReplica);
    journal.updatePeers({{"k0", "b"}}, {});
    CHECK(journal.admission(0) == JournalAdmission::Accepted);
    journal.advance({});
    journal.receiveAck("k0", {"owner", 1, 1, ReplicaRelease::Keep});
    CHECK(journal.advance({}).reducedReplication.size() == 1);
}

// Guards against keepers that fill their memory with stored records or with replicas that nobody needs.
TEST_CASE("Keepers end up empty")
{
    CHECK(rc::check("after healing", [](std::uint64_t seed) {
        World world(seed, 4);
        for (int i = 0; i < 60; ++i) {
            startOrFinishRequest(world);
            world.now += std::chrono::milliseconds(world.random() % 40);
            world.carryOut("owner");
            world.deliver(world.random() % 2 == 0, false, world.random() % 4 == 0);
        }
        for (const std::string &id : std::exchange(world.open, {})) {
            world.owner().append(completedRecord(id, 1), world.now);
        }
        world.heal();
        world.owner().append(completedRecord(makeRequestId(admitted, world.random), 1), world.now);
        world.heal();
        RC_ASSERT(world.owner().isDrained());
        RC_ASSERT(world.owner().memoryBytes() == 0U);
        for (const auto &[holder, replica] : world.replicas) {
            RC_ASSERT(replica.memoryBytes() == 0U);
        }
    }));
}
