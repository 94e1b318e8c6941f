#include "LibMembership/Membership.h"
#include "LibPeer/PeerNetwork.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

// Measures the cost of links and gossip: `godwitfork-control-cost INSTANCES SECONDS` runs that many instances, each with its
// own links over 127.0.0.1, in one process and prints the mean for each instance.

namespace
{
using namespace Godwitfork;

constexpr Duration gossipInterval = std::chrono::milliseconds(500);
// Time in which links open and member lists settle, kept out of the measurement.
constexpr Duration warmUp = std::chrono::seconds(5);

/// One instance: links and membership under one lock.
class Instance
{
public:
    explicit Instance(int number) : random(static_cast<std::uint64_t>(number)), name("instance-" + std::to_string(number) + "-0123abcd")
    {
        PeerNetworkOptions options;
        options.self = this->name;
        options.sharedKey = "control cost";
        PeerHandlers handlers;
        handlers.message = [this](const std::string &sender, const PeerMessage &message) {
            const std::lock_guard lock(this->mutex);
            this->send(this->membership->receive(sender, message, this->random, monotonicNow()));
        };
        this->network = std::make_unique<PeerNetwork>(options, handlers);
        this->self = {this->name, "instance", "north", "127.0.0.1:" + std::to_string(this->network->port())};
        this->membership = std::make_unique<Membership>(this->self, MembershipLimits());
    }

    void join(const std::vector<PeerMember> &members, const std::vector<PeerEndpoint> &endpoints)
    {
        const std::lock_guard lock(this->mutex);
        this->network->setPeers(endpoints);
        this->membership->takeMemberList(members, monotonicNow());
        this->membership->takeFromStore(1, "{}", monotonicNow(), this->random, monotonicNow());
    }

    void gossip()
    {
        const std::lock_guard lock(this->mutex);
        this->send(this->membership->gossip(this->random, monotonicNow()));
    }

    bool admits()
    {
        const std::lock_guard lock(this->mutex);
        return this->membership->mayAdmit(monotonicNow());
    }

    PeerMember self;
    std::unique_ptr<PeerNetwork> network;

private:
    void send(const OutgoingMessages &messages)
    {
        for (const OutgoingMessage &outgoing : messages) {
            this->network->send(outgoing.receiver, outgoing.message);
        }
    }

    std::mutex mutex;
    RandomSource random;
    std::string name;
    std::unique_ptr<Membership> membership;
};

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microsecond = 1e-6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + microsecond * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

double residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

PeerCounters totals(const std::vector<std::unique_ptr<Instance>> &instances)
{
    PeerCounters sum;
    for (const auto &instance : instances) {
        const PeerCounters counters = instance->network->counters();
        sum.bytesSent += counters.bytesSent;
        sum.bytesReceived += counters.bytesReceived;
        sum.messagesSent += counters.messagesSent;
        sum.messagesReceived += counters.messagesReceived;
        sum.openLinks += counters.openLinks;
    }
    return sum;
}

void run(const std::vector<std::unique_ptr<Instance>> &instances, Duration duration)
{
    const MonotonicTime end = monotonicNow() + duration;
    const Duration pause = gossipInterval / static_cast<Duration::rep>(instances.size());
    MonotonicTime next = monotonicNow();
    for (std::size_t turn = 0; monotonicNow() < end; ++turn) {
        instances[turn % instances.size()]->gossip();
        next += pause;
        std::this_thread::sleep_until(next);
    }
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: godwitfork-control-cost INSTANCES SECONDS\n";
        return 2;
    }
    const int count = std::atoi(argv[1]);
    const int seconds = std::atoi(argv[2]);
    const double memoryBefore = residentKilobytes();
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<PeerMember> members;
    std::vector<PeerEndpoint> endpoints;
    for (int i = 0; i < count; ++i) {
        instances.push_back(std::make_unique<Instance>(i));
        members.push_back(instances.back()->self);
        endpoints.push_back({instances.back()->self.incarnation, "127.0.0.1", instances.back()->network->port()});
    }
    for (auto &instance : instances) {
        instance->join(members, endpoints);
    }
    run(instances, warmUp);
    const PeerCounters before = totals(instances);
    const double processorBefore = processorSeconds();
    run(instances, std::chrono::seconds(seconds));
    const PeerCounters after = totals(instances);
    const double perInstance = static_cast<double>(count) * seconds;
    int admitting = 0;
    for (auto &instance : instances) {
        admitting += instance->admits() ? 1 : 0;
    }
    std::cout << count << " instances: " << static_cast<double>(after.bytesSent + after.bytesReceived - before.bytesSent - before.bytesReceived) / perInstance
              << " B/s, " << static_cast<double>(after.messagesSent + after.messagesReceived - before.messagesSent - before.messagesReceived) / perInstance
              << " messages/s, " << 100 * (processorSeconds() - processorBefore) / perInstance << " % of a core, "
              << (residentKilobytes() - memoryBefore) / count << " KB, " << static_cast<double>(after.openLinks) / count << " links, " << admitting
              << " admit without the store\n";
    std::cout.flush();
    // The process ends without closing each link, which would take longer than the measurement at large sizes.
    std::_Exit(0);
}
