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

/// Simulated cluster of one owner, several replica holders and a store, with a network that loses, duplicates and reorders
/// messages.
class Cluster
{
public:
    Cluster(std::uint64_t seed, int holderCount, JournalSettings settings = {}) : random(seed)
    {
        for (int i = 0; i < holderCount; ++i) {
            const std::string name = "k" + std::to_string(i);
            this->replicas[name];
            this->journals.emplace(name, Journal(name, "b", {}));
        }
        this->journals.emplace("owner", Journal("owner", "a", settings));
        this->updateMembership();
    }

    void updateMembership()
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

    bool isOwnerAlive() const
    {
        return !this->dead.contains("owner");
    }

    void performActions(const std::string &name)
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

    void performAllActions()
    {
        for (const auto &[name, journal] : this->journals) {
            this->performActions(name);
        }
    }

    /// Delivers one message: a random one if `reorder`, without removing it from the network if `repeat`, and not at all if
    /// `lose`.
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
            this->performActions(message.to);
            return;
        }
        JournalReplicas &replica = this->replicas[message.to];
        const auto *append = std::get_if<JournalAppend>(&message.body);
        const auto reply = append != nullptr ? replica.receive(*append) : replica.receive(std::get<JournalDrop>(message.body));
        if (reply) {
            this->network.push_back({message.to, message.from, *reply});
        }
    }

    /// Performs the oldest store write; it may fail, or take effect while its response is lost.
    void write(bool takesEffect, bool responseArrives)
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
            const auto result = takesEffect && responseArrives ? BatchWriteResult::Stored : BatchWriteResult::Failed;
            this->journals.at(name).finishWrite(batch.name, result, this->now, this->random);
            this->performActions(name);
        }
    }

    void recover(const std::string &holder)
    {
        if (!this->dead.contains(holder)) {
            this->journals.at(holder).adopt(this->replicas[holder].recover("owner"));
            this->performActions(holder);
        }
    }

    /// Ends all faults and runs the surviving instances until they have stored everything.
    void heal()
    {
        if (this->isOwnerAlive()) {
            this->owner().requestFlush();
        }
        for (int round = 0; round < 50; ++round) {
            this->now += std::chrono::seconds(11);
            for (const auto &[holder, replica] : this->replicas) {
                if (!this->isOwnerAlive()) {
                    this->recover(holder);
                }
            }
            this->performAllActions();
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

void startOrFinishRequest(Cluster &cluster)
{
    if (!cluster.isOwnerAlive()) {
        return;
    }
    if (cluster.open.empty() || cluster.random() % 2 == 0) {
        const std::string id = makeRequestId(admitted + std::chrono::seconds(cluster.random() % 7200), cluster.random);
        cluster.owner().open({id, "ljungberg", "norrland"}, cluster.now);
        cluster.open.push_back(id);
    } else {
        const std::size_t index = cluster.random() % cluster.open.size();
        const std::string id = cluster.open[index];
        cluster.open.erase(cluster.open.begin() + static_cast<std::ptrdiff_t>(index));
        cluster.billed[id] = static_cast<Microunits>(1 + cluster.random() % 1000);
        cluster.owner().append(completedRecord(id, cluster.billed[id]), cluster.now);
    }
    cluster.performActions("owner");
}

void kill(Cluster &cluster, const std::string &name, bool isDetected)
{
    cluster.dead.insert(name);
    if (isDetected) {
        cluster.updateMembership();
        cluster.performAllActions();
    }
}

/// Probabilities of the random inputs in thousandths; the rest falls to request starts and ends. `lose` is the probability
/// that a delivered message is lost.
struct Weights {
    std::uint64_t deliver;
    std::uint64_t lose;
    std::uint64_t shortPause;
    std::uint64_t longPause;
    std::uint64_t write;
    std::uint64_t falseSuspicion;
};

void step(Cluster &cluster, bool storeUp, const Weights &weights)
{
    std::uint64_t choice = cluster.random() % 1000;
    const auto chosen = [&choice](std::uint64_t weight) {
        const bool hit = choice < weight;
        choice -= hit ? 0 : weight;
        return hit;
    };
    if (chosen(weights.deliver)) {
        cluster.deliver(cluster.random() % 8 == 0, cluster.random() % 10 == 0, cluster.random() % 1000 < weights.lose);
    } else if (chosen(weights.shortPause)) {
        cluster.now += std::chrono::milliseconds(1 + cluster.random() % 20);
        cluster.performAllActions();
    } else if (chosen(weights.longPause)) {
        cluster.now += std::chrono::milliseconds(cluster.random() % 6000);
        cluster.performAllActions();
    } else if (chosen(weights.write)) {
        cluster.write(storeUp && cluster.random() % 6 != 0, cluster.random() % 6 != 0);
    } else if (chosen(weights.falseSuspicion)) {
        // A holder may wrongly consider the owner dead, and an unchanged member list may be reported again.
        cluster.recover("k" + std::to_string(cluster.random() % cluster.replicas.size()));
        cluster.updateMembership();
        cluster.performAllActions();
    } else {
        startOrFinishRequest(cluster);
    }
}

/// Checks the invariants of billing after the surviving instances have stored everything.
void checkBilling(const Cluster &cluster)
{
    std::map<std::string, Microunits> completed;
    for (const auto &[name, records] : cluster.store) {
        for (const SharedRecord &record : records) {
            const bool isCompleted = record->outcome() == RequestOutcome::Completed;
            RC_ASSERT(record->amount() == (isCompleted ? cluster.billed.at(record->requestId()) : 0));
            if (isCompleted) {
                completed[record->requestId()] = record->amount();
            }
        }
    }
    const Bill bill = cluster.stored().bill("ljungberg", {WallTime::min(), WallTime::max()});
    const auto values = std::views::values(completed);
    RC_ASSERT(bill.amount == std::accumulate(values.begin(), values.end(), Microunits {0}));
    RC_ASSERT(bill.requests <= static_cast<std::int64_t>(cluster.billed.size() + cluster.open.size()));
    for (const std::string &id : cluster.durable) {
        // With reduced replication (one holder, store unreachable) a record may be lost if the owner and that holder die.
        const bool isExempt = cluster.reduced.contains(id) && cluster.dead.size() == 2;
        const bool isPresent = completed.contains(id) || isExempt;
        RC_ASSERT(isPresent);
    }
    if (cluster.isOwnerAlive()) {
        RC_ASSERT(completed.size() == cluster.billed.size());
        RC_ASSERT(cluster.durable.size() == cluster.billed.size());
    }
}
} // namespace

// Guards against losing a record whose response was completed, and against billing a request identity twice, while at most
// the owner and one replica holder die and messages and write responses are lost, duplicated and reordered.
TEST_CASE("No durable record is lost or billed twice")
{
    std::size_t durable = 0;
    std::size_t ownerDeaths = 0;
    CHECK(rc::check("long interleavings", [&](std::uint64_t seed) {
        Cluster cluster(seed, 2 + static_cast<int>(seed % 4));
        const bool storeUp = cluster.random() % 3 != 0;
        const std::size_t ownerDeath = cluster.random() % 1600;
        const std::size_t holderDeath = cluster.random() % 1600;
        for (std::size_t i = 0; i < 800; ++i) {
            step(cluster, storeUp, {350, 40, 150, 30, 130, 20});
            if (i == holderDeath) {
                kill(cluster, "k0", seed % 2 == 0);
            }
            if (i == ownerDeath) {
                kill(cluster, "owner", true);
            }
        }
        cluster.heal();
        checkBilling(cluster);
        durable += cluster.durable.size();
        ownerDeaths += cluster.isOwnerAlive() ? 0 : 1;
    }));
    // The property would hold vacuously if no record became durable or no owner died.
    INFO(durable << " durable records, " << ownerDeaths << " owner deaths");
    CHECK(durable > 1000);
    CHECK(ownerDeaths > 10);
}

// Guards against an acknowledgement that covers an entry which one of the replica holders lacks. Such a record is lost if
// the owner and the other holder die before the store contains it.
TEST_CASE("Durable records survive the simultaneous death of the owner and one replica holder")
{
    // Short intervals, so that flushes and the end of a slow peer's back-off occur within the few steps of a run.
    JournalSettings settings;
    settings.flushInterval = std::chrono::milliseconds(20);
    settings.slowPeerBackOff = std::chrono::milliseconds(30);
    // Small messages and windows, so that the first append of a term is split into several messages.
    settings.messageLimitBytes = 600;
    settings.windowBytes = 1500;
    std::size_t durable = 0;
    CHECK(rc::check("short interleavings", [&](std::uint64_t seed) {
        for (std::uint64_t run = 0; run < 40; ++run) {
            Cluster cluster(seed * 40 + run, 2 + static_cast<int>(run % 4), settings);
            const std::size_t steps = 20 + cluster.random() % 200;
            for (std::size_t i = 0; i < steps; ++i) {
                step(cluster, true, {480, 150, 150, 0, 40, 2});
            }
            kill(cluster, "owner", false);
            kill(cluster, "k" + std::to_string(cluster.random() % cluster.replicas.size()), true);
            cluster.heal();
            checkBilling(cluster);
            durable += cluster.durable.size();
        }
    }));
    INFO(durable << " durable records");
    CHECK(durable > 5000);
}

// Guards against a replica holder that acknowledges entries beyond a lost message, and against one that drops its current
// replica on a delayed release of an earlier term.
TEST_CASE("A replica holder accepts no gap and no message of an earlier term")
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

// Guards against a response that waits for the store although two holders have the record, and against one that is completed
// before both have it.
TEST_CASE("A record is durable once both replica holders have acknowledged it")
{
    Cluster cluster(1, 3);
    cluster.performActions("owner");
    const std::string id = makeRequestId(admitted, cluster.random);
    cluster.owner().append(completedRecord(id, 5), cluster.now);
    cluster.performActions("owner");
    CHECK(cluster.network.empty());
    cluster.now += std::chrono::milliseconds(1);
    cluster.performActions("owner");
    REQUIRE(cluster.network.size() == 2);
    cluster.deliver(false, false, false);
    cluster.deliver(false, false, false);
    cluster.deliver(false, false, false);
    CHECK(cluster.durable.empty());
    cluster.deliver(false, false, false);
    CHECK(cluster.durable.contains(id));
    CHECK(cluster.writes.empty());
}

// Guards against a frozen replica holder that delays every response.
TEST_CASE("A silent replica holder is replaced after 50 ms and the replacement receives all entries")
{
    Cluster cluster(2, 3);
    cluster.owner().append(completedRecord(makeRequestId(admitted, cluster.random), 5), cluster.now);
    const auto before = cluster.owner().replicaHolders();
    cluster.now += std::chrono::milliseconds(1);
    cluster.performActions("owner");
    cluster.network.clear();
    cluster.now += std::chrono::milliseconds(51);
    cluster.performActions("owner");
    REQUIRE(cluster.network.size() == 1);
    CHECK(cluster.network.front().to != before[0]);
    CHECK(cluster.network.front().to != before[1]);
    CHECK(std::get<JournalAppend>(cluster.network.front().body).entries.size() == 1);
}

// Guards against dropping the replica of a replaced holder before its successor has the entries, and against counting an
// acknowledgement of an earlier term.
TEST_CASE("A replaced holder is released once its successor has acknowledged all entries")
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

// Guards against admitting requests that no other process could bill if this one died, and against unbounded memory use
// during a store outage.
TEST_CASE("Requests are refused without a replica and at the memory limit")
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

// Guards against replica holders whose memory grows by records that are stored or by replicas that were replaced.
TEST_CASE("Replica holders drop all entries after the owner has stored them")
{
    CHECK(rc::check("after healing", [](std::uint64_t seed) {
        Cluster cluster(seed, 4);
        for (int i = 0; i < 60; ++i) {
            startOrFinishRequest(cluster);
            cluster.now += std::chrono::milliseconds(cluster.random() % 40);
            cluster.performActions("owner");
            cluster.deliver(cluster.random() % 2 == 0, false, cluster.random() % 4 == 0);
        }
        for (const std::string &id : std::exchange(cluster.open, {})) {
            cluster.owner().append(completedRecord(id, 1), cluster.now);
        }
        cluster.heal();
        cluster.owner().append(completedRecord(makeRequestId(admitted, cluster.random), 1), cluster.now);
        cluster.heal();
        RC_ASSERT(cluster.owner().isDrained());
        RC_ASSERT(cluster.owner().memoryBytes() == 0U);
        for (const auto &[holder, replica] : cluster.replicas) {
            RC_ASSERT(replica.memoryBytes() == 0U);
        }
    }));
}
