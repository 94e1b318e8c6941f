#include "LibGateway/DomainSummaries.h"
#include "LibGateway/HubDirectory.h"
#include "LibGateway/PeerReportAggregator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};
constexpr Duration membershipTimeout = 5s;

std::string addressOf(int number)
{
    return "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7000";
}

FleetMember memberOf(int number, int domains)
{
    // One instance in ten is large.
    return {"entry-" + std::to_string(number), addressOf(number), number % 10 == 0 ? 500 : 120, "domain-" + std::to_string(number % domains)};
}

std::vector<FleetMember> membersOf(int count, int domains)
{
    std::vector<FleetMember> members;
    for (int i = 0; i < count; ++i) {
        members.push_back(memberOf(i, domains));
    }
    return members;
}

HubDirectory directoryOf(int number, int count, int domains)
{
    HubDirectory directory(addressOf(number), memberOf(number, domains).failureDomain, membershipTimeout);
    for (const FleetMember &member : membersOf(count, domains)) {
        directory.fleet().record(member, start);
    }
    return directory;
}

/// Instances that exchange reports as PeerExchange does, with messages that take one step.
class Fleet
{
public:
    static constexpr Duration step = 100ms;
    static constexpr Duration interval = 500ms;

    struct Instance {
        FleetMember self;
        std::unique_ptr<HubDirectory> directory;
        std::unique_ptr<PeerReportAggregator> board;
        std::unique_ptr<DomainSummaries> others;
        MonotonicTime nextReport;
        MonotonicTime nextSeedReport;
        std::int64_t coveredMembers = 0;
        int messagesReceived = 0;
        bool isAlive = true;
    };

    Fleet(int count, int domains, std::uint64_t seed) : random(seed)
    {
        for (int i = 0; i < count; ++i) {
            Instance instance;
            instance.self = memberOf(i, domains);
            instance.directory = std::make_unique<HubDirectory>(instance.self.address, instance.self.failureDomain, membershipTimeout);
            instance.board = std::make_unique<PeerReportAggregator>(membershipTimeout, 8s);
            instance.others = std::make_unique<DomainSummaries>(2500ms);
            instance.nextReport = start + step * static_cast<int>(this->random() % 5);
            this->indexes[instance.self.address] = i;
            this->instances.push_back(std::move(instance));
        }
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = this->now + duration; this->now < end; this->now += step) {
            for (Instance &instance : this->instances) {
                if (instance.isAlive) {
                    this->tick(instance);
                }
            }
        }
    }

    Instance &at(const std::string &address)
    {
        return this->instances[static_cast<std::size_t>(this->indexes.at(address))];
    }

    std::vector<Instance> instances;
    MonotonicTime now = start;
    int messagesBetweenDomains = 0;

private:
    void tick(Instance &instance)
    {
        if (this->now < instance.nextReport) {
            return;
        }
        instance.nextReport = this->now + interval;
        PeerReport report;
        report.sender = instance.self;
        report.fleetHash = fleetHash(instance.directory->fleet().members());
        instance.board->expire(this->now);
        instance.board->record(report, this->now);
        instance.directory->fleet().record(instance.self, this->now);
        instance.directory->expire(this->now);
        const std::vector<std::string> hubs = instance.directory->ownHubs(this->now);
        std::vector<std::string> targets = hubs;
        for (const std::string &probe : instance.directory->dueProbes(this->now)) {
            targets.push_back(probe);
        }
        for (int seed = 0; seed < 3; ++seed) {
            const bool isTurn = this->now >= instance.nextSeedReport && static_cast<int>(this->random() % 3) == seed;
            if (instance.directory->fleet().members().size() < 2 || isTurn) {
                targets.push_back(addressOf(seed));
                instance.nextSeedReport = this->now + 700ms;
            }
        }
        for (const std::string &target : targets) {
            if (target != instance.self.address) {
                this->report(instance, report, target, target == hubs.front());
            } else if (target == hubs.front()) {
                instance.coveredMembers = this->total(instance).memberCount;
            }
        }
        if (instance.directory->isPrimary(this->now)) {
            for (const std::string &hub : instance.directory->remotePrimaries(this->now)) {
                this->exchange(instance, hub);
            }
        }
    }

    PeerSummary total(const Instance &instance) const
    {
        PeerSummary own = instance.board->summary(this->now);
        own.failureDomain = instance.self.failureDomain;
        return instance.others->total(std::move(own), this->now);
    }

    bool deliver(Instance &sender, Instance &receiver)
    {
        if (!receiver.isAlive) {
            sender.directory->exclude(receiver.self.address, 3s, this->now);
            return false;
        }
        sender.directory->include(receiver.self.address);
        ++receiver.messagesReceived;
        this->messagesBetweenDomains += sender.self.failureDomain == receiver.self.failureDomain ? 0 : 1;
        return true;
    }

    void report(Instance &instance, const PeerReport &report, const std::string &target, bool wantsSummary)
    {
        Instance &receiver = this->at(target);
        if (!this->deliver(instance, receiver)) {
            return;
        }
        receiver.directory->fleet().record(instance.self, this->now);
        const bool isOwnDomain = instance.self.failureDomain == receiver.self.failureDomain;
        if (isOwnDomain) {
            receiver.board->record(report, this->now);
        }
        if (wantsSummary || (!isOwnDomain && report.fleetHash != fleetHash(receiver.directory->fleet().members()))) {
            FleetView &view = instance.directory->fleet();
            if (report.fleetHash == fleetHash(receiver.directory->fleet().members())) {
                const FleetView &known = receiver.directory->fleet();
                view.merge(known.overdue(this->now), this->now);
                view.confirmExcept(known.overdue(this->now), known.oldestInTime(this->now), this->now);
            } else {
                view.merge(receiver.directory->fleet().sightings(this->now), this->now);
            }
            if (wantsSummary) {
                instance.coveredMembers = this->total(receiver).memberCount;
            }
        }
    }

    void exchange(Instance &instance, const std::string &hub)
    {
        Instance &receiver = this->at(hub);
        if (!this->deliver(instance, receiver)) {
            return;
        }
        PeerSummary summary = instance.board->summary(this->now);
        summary.failureDomain = instance.self.failureDomain;
        receiver.directory->fleet().merge(summary.members, this->now);
        receiver.others->record(std::move(summary), this->now);
    }

    std::mt19937_64 random;
    std::map<std::string, int> indexes;
};
} // namespace

TEST_CASE("Each failure domain has two hubs, the largest instances, and all instances choose the same ones", "[hubs]")
{
    const HubDirectory first = directoryOf(3, 80, 4);
    const HubDirectory second = directoryOf(7, 80, 4);
    REQUIRE(first.ownHubs(start).size() == 2);
    CHECK(first.ownHubs(start) == second.ownHubs(start));
    const std::vector<std::string> remote = directoryOf(0, 80, 4).remotePrimaries(start);
    CHECK(remote.size() == 3);
    for (const FleetMember &member : membersOf(80, 4)) {
        if (std::find(remote.begin(), remote.end(), member.address) != remote.end()) {
            CHECK((member.capacity == 500 || member.failureDomain == "domain-1" || member.failureDomain == "domain-3"));
        }
    }
}

TEST_CASE("The choice of hubs does not depend on the order in which members are learned, and a fleet without members has none", "[hubs]")
{
    std::vector<FleetMember> members = membersOf(80, 4);
    std::reverse(members.begin(), members.end());
    HubDirectory reversed(addressOf(3), memberOf(3, 4).failureDomain, membershipTimeout);
    CHECK(reversed.ownHubs(start).empty());
    for (const FleetMember &member : members) {
        reversed.fleet().record(member, start);
    }
    CHECK(reversed.ownHubs(start) == directoryOf(3, 80, 4).ownHubs(start));
    CHECK(reversed.remotePrimaries(start) == directoryOf(3, 80, 4).remotePrimaries(start));
}

TEST_CASE("Directories whose views have converged choose the same hubs", "[hubs]")
{
    // Groups of instances that chose different hubs stayed partitioned.
    HubDirectory first(addressOf(0), "domain-0", membershipTimeout);
    HubDirectory second(addressOf(8), "domain-0", membershipTimeout);
    for (int i = 0; i < 5; ++i) {
        first.fleet().record(memberOf(i, 1), start);
        second.fleet().record(memberOf(i + 4, 1), start);
    }
    second.fleet().merge(first.fleet().sightings(start), start);
    first.fleet().merge(second.fleet().sightings(start), start);
    CHECK(first.ownHubs(start) == second.ownHubs(start));
}

TEST_CASE("The second hub takes over when the primary does not answer, until its exclusion has ended and it was heard", "[hubs]")
{
    HubDirectory directory = directoryOf(3, 80, 4);
    const std::vector<std::string> hubs = directory.ownHubs(start);
    directory.exclude(hubs[0], 3s, start);
    CHECK(directory.ownHubs(start + 1s).front() == hubs[1]);
    CHECK(directory.relayHub(StoreAccess::Working, start + 1s) == hubs[1]);
    // Nothing was heard of it since: it is contacted again, but not chosen.
    CHECK(directory.dueProbes(start + 2s).empty());
    CHECK(directory.dueProbes(start + 3s) == std::vector<std::string> {hubs[0]});
    CHECK(directory.ownHubs(start + 3s).front() == hubs[1]);
    const auto &members = directory.fleet().members();
    const FleetMember primary = *std::find_if(members.begin(), members.end(), [&](const FleetMember &member) { return member.address == hubs[0]; });
    directory.fleet().record(primary, start + 1s);
    CHECK(directory.ownHubs(start + 2s).front() == hubs[1]);
    CHECK(directory.ownHubs(start + 3s) == hubs);
    CHECK(directory.dueProbes(start + 3s).empty());
    directory.exclude(hubs[0], 9s, start + 3s);
    directory.include(hubs[0]);
    CHECK(directory.ownHubs(start + 4s) == hubs);
}

TEST_CASE("A primary reads the store itself and follows another hub only while the store turns it away", "[hubs]")
{
    const std::string primary = directoryOf(1, 80, 4).ownHubs(start).front();
    int number = 0;
    while (addressOf(number) != primary) {
        ++number;
    }
    const HubDirectory directory = directoryOf(number, 80, 4);
    REQUIRE(directory.isPrimary(start));
    CHECK_FALSE(directory.relayHub(StoreAccess::Working, start));
    CHECK(directory.relayHub(StoreAccess::Failing, start) == directory.ownHubs(start)[1]);
}

TEST_CASE("Instances whose own hubs do not answer follow hubs of several other failure domains", "[hubs]")
{
    // If all of them followed the same hub, it would have the followers of two failure domains.
    std::set<std::string> followed;
    for (int i = 0; i < 80; i += 4) {
        HubDirectory directory = directoryOf(i, 80, 4);
        for (const FleetMember &member : membersOf(80, 4)) {
            if (member.failureDomain == "domain-0" && member.address != addressOf(i)) {
                directory.exclude(member.address, 3s, start);
            }
        }
        const auto hub = directory.relayHub(StoreAccess::Failing, start);
        REQUIRE(hub);
        followed.insert(*hub);
    }
    CHECK(followed.size() == 3);
}

TEST_CASE("A fleet that starts at once knows all its members within seconds", "[hubs]")
{
    // All processes are killed at the same moment and start again, knowing three seeds only.
    for (const int count : {3, 9, 30, 100, 300}) {
        Fleet fleet(count, std::min(count, 7), 20261204);
        fleet.run(4s);
        for (const Fleet::Instance &instance : fleet.instances) {
            CHECK(instance.directory->fleet().members().size() == static_cast<std::size_t>(count));
            CHECK(instance.coveredMembers == count);
        }
    }
}

TEST_CASE("The messages of a hub grow with its failure domain, those between domains with the number of domains", "[hubs]")
{
    // Reports of all instances to two hubs of the fleet took 6 MB/s at the hub and 1.4 of the fleet's worth at 303 instances.
    constexpr int count = 300;
    constexpr int domains = 6;
    Fleet fleet(count, domains, 7);
    fleet.run(6s);
    for (Fleet::Instance &instance : fleet.instances) {
        instance.messagesReceived = 0;
    }
    fleet.messagesBetweenDomains = 0;
    constexpr int seconds = 10;
    fleet.run(std::chrono::seconds(seconds));
    const int reportsPerSecond = static_cast<int>(1s / Fleet::interval);
    for (std::size_t i = 3; i < fleet.instances.size(); ++i) {
        const Fleet::Instance &instance = fleet.instances[i];
        CHECK(instance.messagesReceived <= seconds * reportsPerSecond * (count / domains + domains));
    }
    // Each primary sends to each other one; each instance reports to a seed each 700 ms.
    const int exchanges = seconds * reportsPerSecond * domains * (domains - 1);
    CHECK(fleet.messagesBetweenDomains <= exchanges + count * seconds * 2);
}

TEST_CASE("When the primaries of all failure domains die, the others' summaries are complete again within 2 s and stay so", "[hubs]")
{
    Fleet fleet(120, 6, 11);
    fleet.run(6s);
    std::set<std::string> dead;
    for (Fleet::Instance &instance : fleet.instances) {
        dead.insert(instance.directory->ownHubs(fleet.now).front());
    }
    REQUIRE(dead.size() == 6);
    for (const std::string &address : dead) {
        fleet.at(address).isAlive = false;
    }
    const auto choosesDeadHub = [&](const Fleet::Instance &instance) {
        return dead.contains(instance.directory->relayHub(StoreAccess::Failing, fleet.now).value_or(""));
    };
    fleet.run(2s);
    for (const Fleet::Instance &instance : fleet.instances) {
        CHECK((!instance.isAlive || instance.coveredMembers >= 114));
        CHECK_FALSE((instance.isAlive && choosesDeadHub(instance)));
    }
    // A dead hub is still a member for up to 5 s; it must not be chosen again once its exclusion has lasted for 3 s.
    for (int i = 0; i < 60; ++i) {
        fleet.run(Fleet::step);
        CHECK(std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const Fleet::Instance &instance) {
            return !instance.isAlive || (instance.coveredMembers >= 114 && !choosesDeadHub(instance));
        }));
    }
}
