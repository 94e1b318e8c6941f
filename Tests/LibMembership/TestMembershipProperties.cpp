#include "LibMembership/Membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr int instanceCount = 5;
constexpr Duration step = 50ms;
constexpr int stepCount = 2400;
// Time after the acceptance of a revision until which older revisions may be used.
constexpr Duration bound = 5s;

enum class FaultKind { Partition, Heal, StoreCut, StoreHeal, StoreOutage, Restart, Apply, Pause, SlowNetwork, SlowStore };
constexpr int faultKindCount = 10;

struct Fault {
    int step;
    FaultKind kind;
    int instance;
};

void showValue(const Fault &fault, std::ostream &out)
{
    out << "step " << fault.step << " kind " << static_cast<int>(fault.kind) << " instance " << fault.instance;
}

rc::Gen<Fault> arbitraryFault()
{
    return rc::gen::construct<Fault>(rc::gen::inRange(0, stepCount),
                                     rc::gen::map(rc::gen::inRange(0, faultKindCount), [](int kind) { return static_cast<FaultKind>(kind); }),
                                     rc::gen::inRange(0, instanceCount));
}

struct Instance {
    PeerMember member;
    std::unique_ptr<Membership> membership;
    /// Side of the network partition, 0 or 1.
    int side = 0;
    bool reachesStore = true;
    MonotonicTime pausedUntil;
    std::uint64_t greatestSeen = 0;
};

struct Event {
    MonotonicTime due;
    std::function<void()> run;
};

/// Simulates instances, a store and a network that loses, duplicates and delays messages, on a simulated clock.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed) : random(seed)
    {
        for (int i = 0; i < instanceCount; ++i) {
            this->restart(i);
        }
    }

    void inject(const Fault &fault)
    {
        Instance &instance = this->instances[static_cast<std::size_t>(fault.instance)];
        switch (fault.kind) {
        case FaultKind::Partition:
            instance.side = 1 - instance.side;
            break;
        case FaultKind::Heal:
            for (Instance &other : this->instances) {
                other.side = 0;
            }
            break;
        case FaultKind::StoreCut:
            instance.reachesStore = false;
            break;
        case FaultKind::StoreHeal:
            for (Instance &other : this->instances) {
                other.reachesStore = true;
            }
            break;
        case FaultKind::StoreOutage:
            for (Instance &other : this->instances) {
                other.reachesStore = false;
            }
            break;
        case FaultKind::Restart:
            this->restart(fault.instance);
            break;
        case FaultKind::Apply:
            ++this->storeRevision;
            break;
        case FaultKind::Pause:
            instance.pausedUntil = this->now + 1s * static_cast<int>(this->random() % 9);
            break;
        case FaultKind::SlowNetwork:
            this->slowNetwork = !this->slowNetwork;
            break;
        case FaultKind::SlowStore:
            this->slowStore = !this->slowStore;
        }
    }

    void advance(int index)
    {
        this->now += step;
        std::vector<Event> due;
        std::erase_if(this->events, [&](Event &event) {
            const bool isDue = event.due <= this->now;
            if (isDue) {
                due.push_back(std::move(event));
            }
            return isDue;
        });
        std::shuffle(due.begin(), due.end(), this->random);
        for (const Event &event : due) {
            event.run();
        }
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (this->instances[i].pausedUntil > this->now) {
                continue;
            }
            if ((index + static_cast<int>(i)) % 10 == 0) {
                this->send(i, this->instances[i].membership->gossip(this->random, this->now));
            }
            if ((index + static_cast<int>(i)) % 14 == 0) {
                this->readStore(i);
            }
        }
    }

    void check()
    {
        const auto holds = [this](const PeerMember &listed, std::uint64_t revision) {
            return std::any_of(this->instances.begin(), this->instances.end(), [&](const Instance &instance) {
                return instance.member.incarnation == listed.incarnation && instance.membership->revision() >= revision;
            });
        };
        while (this->acceptedAt.size() < this->storeRevision) {
            const std::uint64_t next = this->acceptedAt.size() + 1;
            const auto holders = std::count_if(this->listed.begin(), this->listed.end(), [&](const PeerMember &member) { return holds(member, next); });
            if (holders <= static_cast<long>(this->listed.size() / 2)) {
                break;
            }
            this->acceptedAt.push_back(this->now);
        }
        for (Instance &instance : this->instances) {
            const std::uint64_t revision = instance.membership->revision();
            RC_ASSERT(revision >= instance.greatestSeen);
            instance.greatestSeen = revision;
            if (instance.pausedUntil <= this->now && instance.membership->mayAdmit(this->now) && this->acceptedAt.size() > revision) {
                RC_ASSERT(this->now - this->acceptedAt[revision] <= bound);
                ++this->oldAdmissions;
            }
            this->admissions += instance.membership->mayAdmit(this->now) ? 1 : 0;
        }
    }

    int admissions = 0;
    int oldAdmissions = 0;

private:
    Duration delay(bool slow)
    {
        const auto draw = this->random() % 100;
        const Duration base = std::chrono::milliseconds(this->random() % 5);
        return draw < (slow ? 40 : 4) ? base + std::chrono::milliseconds(this->random() % 9000) : base;
    }

    void restart(int index)
    {
        Instance &instance = this->instances[static_cast<std::size_t>(index)];
        const std::string formerIncarnation = instance.member.incarnation;
        instance.member = {"incarnation-" + std::to_string(++this->lastIncarnation), "instance", "north", "127.0.0.1:1"};
        instance.membership = std::make_unique<Membership>(instance.member, MembershipLimits());
        instance.greatestSeen = 0;
        instance.pausedUntil = {};
        // The new member object is listed at once; that of the previous incarnation is removed after 60 s.
        this->listed.push_back(instance.member);
        if (!formerIncarnation.empty()) {
            this->events.push_back({this->now + 60s, [this, formerIncarnation] {
                                        std::erase_if(this->listed, [&](const PeerMember &member) { return member.incarnation == formerIncarnation; });
                                    }});
            // The restarted instance receives an old copy of the configuration.
            const std::uint64_t oldRevision = 1 + this->random() % this->storeRevision;
            instance.membership->receive("old", ConfigurationReply {oldRevision, "old"}, this->random, this->now);
        }
    }

    void readStore(std::size_t index)
    {
        if (!this->instances[index].reachesStore) {
            return;
        }
        const MonotonicTime sent = this->now;
        const std::string incarnation = this->instances[index].member.incarnation;
        this->events.push_back({this->now + this->delay(this->slowStore), [this, index, sent, incarnation] {
                                    const std::uint64_t revision = this->storeRevision;
                                    const std::vector<PeerMember> list = this->listed;
                                    this->events.push_back({this->now + this->delay(this->slowStore), [this, index, sent, incarnation, revision, list] {
                                                                this->takeAnswer(index, incarnation, sent, revision, list);
                                                            }});
                                }});
    }

    void takeAnswer(std::size_t index, const std::string &incarnation, MonotonicTime sent, std::uint64_t revision, const std::vector<PeerMember> &list)
    {
        Instance &instance = this->instances[index];
        if (instance.member.incarnation != incarnation || !instance.reachesStore || instance.pausedUntil > this->now) {
            return;
        }
        instance.membership->takeMemberList(list, this->now);
        this->send(index, instance.membership->takeFromStore(revision, "body", sent, this->random, this->now));
    }

    void send(std::size_t sender, const OutgoingMessages &messages)
    {
        for (const OutgoingMessage &outgoing : messages) {
            const auto draw = this->random() % 100;
            const int copies = draw < 5 ? 0 : draw < 12 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const std::string from = this->instances[sender].member.incarnation;
                this->events.push_back({this->now + this->delay(this->slowNetwork), [this, sender, from, outgoing] { this->arrive(sender, from, outgoing); }});
            }
        }
    }

    void arrive(std::size_t sender, const std::string &from, const OutgoingMessage &outgoing)
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            Instance &receiver = this->instances[i];
            if (receiver.member.incarnation != outgoing.receiver || receiver.side != this->instances[sender].side) {
                continue;
            }
            if (receiver.pausedUntil > this->now) {
                // The message stays in the socket buffer until the process resumes.
                this->events.push_back({receiver.pausedUntil, [this, sender, from, outgoing] { this->arrive(sender, from, outgoing); }});
                return;
            }
            this->send(i, receiver.membership->receive(from, outgoing.message, this->random, this->now));
            return;
        }
    }

    RandomSource random;
    MonotonicTime now {1h};
    std::array<Instance, instanceCount> instances;
    std::vector<Event> events;
    std::vector<PeerMember> listed;
    std::uint64_t storeRevision = 1;
    /// Element r - 1 is the time at which more than half of the members held revision r.
    std::vector<MonotonicTime> acceptedAt;
    bool slowNetwork = false;
    bool slowStore = false;
    int lastIncarnation = 0;
};
} // namespace

// Guards against an instance that reverts to an older configuration, or admits requests under one more than 5 s after a greater
// revision was accepted. The faults are partitions, store outages for some instances, pauses, restarts with old copies, and
// lost, duplicated and delayed messages. The seed is that of RC_PARAMS.
TEST_CASE("The configuration never reverts and old revisions are not used for more than 5 s")
{
    int admissions = 0;
    int oldAdmissions = 0;
    CHECK(rc::check("random faults", [&](std::uint64_t seed) {
        auto faults = *rc::gen::container<std::vector<Fault>>(60, arbitraryFault());
        std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.step < right.step; });
        Simulation simulation(seed);
        std::size_t next = 0;
        for (int i = 0; i < stepCount; ++i) {
            for (; next < faults.size() && faults[next].step <= i; ++next) {
                simulation.inject(faults[next]);
            }
            simulation.advance(i);
            simulation.check();
        }
        admissions += simulation.admissions;
        oldAdmissions += simulation.oldAdmissions;
    }));
    // The property would hold vacuously if no request were admitted or no instance were behind.
    CHECK(admissions > 100'000);
    CHECK(oldAdmissions > 100);
    WARN("admissions " << admissions << ", under an older revision " << oldAdmissions);
}
