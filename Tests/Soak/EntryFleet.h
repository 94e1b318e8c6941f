#pragma once

#include "ChildProcess.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "LossRules.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

struct FleetSettings {
    int instances = 9;
    int failureDomains = 3;
    HttpAddress store;
    /// Seconds.
    double stopLimit = 8;
    /// Cores that all instances share, from the first; 0 for all cores of the machine.
    int cores = 0;
    /// Time limit of evacuations, of leaving endpoints and of configurations; 0 if the fleet follows no evacuations.
    Duration evacuationLimit {};
};

/// SIGSTOP for a while, as where an instance gets no processor time. By itself this is no planned work but a disruption.
struct Freeze {
    /// After SIGTERM.
    Duration at {};
    Duration length {};
};

/// Real entry processes, the planned work on them, and the platform's balancer in front of them.
class EntryFleet
{
public:
    EntryFleet(boost::asio::io_context &context, RandomSource &random, FleetSettings settings, std::string folder);
    ~EntryFleet();

    /// Starts all instances and the checks of readiness. Blocks until the processes listen.
    void start();
    /// An instance of the failure domain as the balancer chooses it.
    int choose(int failureDomain);
    HttpAddress callers(int instance) const;
    /// Whether the instance is neither stopping nor being replaced.
    bool isUp(int instance) const;
    /// Sends SIGTERM and replaces the process on the same ports once it has ended, or has been killed at the stop limit.
    boost::asio::awaitable<void> replace(int instance, Freeze freeze);
    /// Changes the retry allowance in the settings file and sends SIGHUP.
    void reload(int instance, int allowance);
    /// Sends a further signal to the instance's process, which may be stopping.
    void sendSignal(int instance, int signal);
    const std::vector<PlannedWork> &works() const;
    const std::vector<Disruption> &disruptions() const;
    void addWork(PlannedWork work);
    std::vector<std::string> logLines(int instance) const;
    /// Writes what all processes logged to files in `target`.
    void keepLogs(const std::string &target) const;

private:
    struct Instance {
        std::string name;
        std::string settingsFile;
        HttpAddress callers;
        HttpAddress readiness;
        HttpAddress peers;
        HttpAddress metrics;
        std::unique_ptr<ChildProcess> process;
        /// Of earlier processes.
        std::vector<std::string> log;
        bool isReplaced = false;
        int misses = 2;
        int retryAllowance = 56;
    };

    void writeSettings(Instance &instance) const;
    void confine(const ChildProcess &process) const;
    boost::asio::awaitable<void> checkReadiness(int instance);
    boost::asio::awaitable<void> startProcess(int instance);
    boost::asio::awaitable<void> pause(Duration duration);

    boost::asio::io_context &context;
    RandomSource &random;
    FleetSettings settings;
    std::string folder;
    HttpClient client;
    std::vector<Instance> instances;
    std::vector<PlannedWork> planned;
    std::vector<Disruption> frozen;
};

} // namespace Godwitfork
