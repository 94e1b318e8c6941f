#include "EntryFleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/filesystem.hpp>

#include <sched.h>

#include <csignal>
#include <fstream>
#include <future>
#include <set>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// The balancer takes an instance out after so many checks without a 200, one a second.
constexpr int missesUntilOut = 2;
constexpr Duration checkInterval = std::chrono::seconds(1);
constexpr Duration defaultChangeLimit = std::chrono::seconds(2);
constexpr Duration pollInterval = std::chrono::milliseconds(20);
/// Below the ports that the kernel gives to outgoing connections, so that a replaced instance finds its ports free.
constexpr std::uint16_t firstPort = 20000;
constexpr std::uint16_t portCount = 12000;

HttpAddress freeAddress(RandomSource &random, std::set<std::uint16_t> &taken)
{
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + random() % portCount);
        Asio::io_context context;
        Asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(Asio::ip::tcp::v4(), error);
        acceptor.bind({Asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error && taken.insert(port).second) {
            return {"127.0.0.1", port};
        }
    }
}
} // namespace

EntryFleet::EntryFleet(Asio::io_context &context, RandomSource &random, FleetSettings settings, std::string folder)
    : context(context), random(random), settings(std::move(settings)), folder(std::move(folder)), client(context)
{
    // Ports are no part of what the seed decides: runs may take place beside each other.
    RandomSource ports = systemSeededRandomSource();
    std::set<std::uint16_t> taken;
    for (int i = 0; i < this->settings.instances; ++i) {
        Instance instance;
        instance.name = "entry-" + std::to_string(i);
        instance.settingsFile = this->folder + "/" + instance.name + ".yaml";
        instance.callers = freeAddress(ports, taken);
        instance.readiness = freeAddress(ports, taken);
        instance.peers = freeAddress(ports, taken);
        instance.metrics = freeAddress(ports, taken);
        this->instances.push_back(std::move(instance));
    }
}

EntryFleet::~EntryFleet() = default;

void EntryFleet::writeSettings(Instance &instance) const
{
    const auto index = &instance - this->instances.data();
    std::ofstream file(instance.settingsFile);
    const Duration evacuationLimit = this->settings.evacuationLimit;
    const auto changeLimit = toMilliseconds(evacuationLimit > Duration::zero() ? evacuationLimit : defaultChangeLimit);
    file << "instance: " << instance.name << "\nfailure_domain: d" << index % this->settings.failureDomains << "\nlisten: " << toText(instance.callers)
         << "\nreadiness_listen: " << toText(instance.readiness) << "\npeer_listen: " << toText(instance.peers)
         << "\nmetrics_listen: " << toText(instance.metrics) << "\nstore: " << toText(this->settings.store) << "\nstop_limit_s: " << this->settings.stopLimit
         << "\nretry_ratio: 0.9\nretry_allowance: " << instance.retryAllowance << "\nretry_window_s: 10\ndrain_limit_ms: " << changeLimit
         << "\nconfiguration_limit_ms: " << changeLimit << "\nevacuation_limit_ms: " << toMilliseconds(evacuationLimit) << "\nseeds: ["
         << toText(this->instances.front().peers) << ", " << toText(this->instances.back().peers) << "]\n";
}

void EntryFleet::confine(const ChildProcess &process) const
{
    if (this->settings.cores == 0) {
        return;
    }
    cpu_set_t cores;
    CPU_ZERO(&cores);
    for (int i = 0; i < this->settings.cores; ++i) {
        CPU_SET(i, &cores);
    }
    for (const auto &thread : boost::filesystem::directory_iterator("/proc/" + std::to_string(process.processId()) + "/task")) {
        ::sched_setaffinity(std::stoi(thread.path().filename().string()), sizeof cores, &cores);
    }
}

void EntryFleet::start()
{
    std::vector<std::future<std::unique_ptr<ChildProcess>>> started;
    for (Instance &instance : this->instances) {
        this->writeSettings(instance);
        started.push_back(std::async(std::launch::async, [file = instance.settingsFile] {
            return std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", file});
        }));
    }
    for (std::size_t i = 0; i < started.size(); ++i) {
        this->instances[i].process = started[i].get();
        this->confine(*this->instances[i].process);
        Asio::co_spawn(
            this->context, [this, i] { return this->checkReadiness(static_cast<int>(i)); }, Asio::detached);
    }
}

Asio::awaitable<void> EntryFleet::pause(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> EntryFleet::checkReadiness(int index)
{
    Instance &instance = this->instances[static_cast<std::size_t>(index)];
    while (true) {
        HttpCallOptions options;
        options.connectTimeout = checkInterval;
        options.responseTimeout = checkInterval;
        options.reuse = ConnectionReuse::Never;
        HttpRequest request = makeRequest("GET", "/");
        const auto answer = co_await this->client.call(instance.readiness, std::move(request), std::move(options));
        const bool isReady = answer && answer.value().status == 200;
        instance.misses = isReady ? 0 : instance.misses + 1;
        co_await this->pause(checkInterval);
    }
}

int EntryFleet::choose(int failureDomain)
{
    std::vector<int> all;
    std::vector<int> inRotation;
    for (int i = failureDomain; i < this->settings.instances; i += this->settings.failureDomains) {
        all.push_back(i);
        if (this->instances[static_cast<std::size_t>(i)].misses < missesUntilOut) {
            inRotation.push_back(i);
        }
    }
    const std::vector<int> &choice = inRotation.size() * 2 < all.size() ? all : inRotation;
    return choice[this->random() % choice.size()];
}

HttpAddress EntryFleet::callers(int instance) const
{
    return this->instances[static_cast<std::size_t>(instance)].callers;
}

bool EntryFleet::isUp(int instance) const
{
    return !this->instances[static_cast<std::size_t>(instance)].isReplaced;
}

void EntryFleet::addWork(PlannedWork work)
{
    this->planned.push_back(work);
}

void EntryFleet::reload(int index, int allowance)
{
    Instance &instance = this->instances[static_cast<std::size_t>(index)];
    instance.retryAllowance = allowance;
    this->writeSettings(instance);
    instance.process->sendSignal(SIGHUP);
    this->planned.push_back({WorkKind::Reload, index, monotonicNow()});
}

void EntryFleet::sendSignal(int index, int signal)
{
    Instance &instance = this->instances[static_cast<std::size_t>(index)];
    if (instance.process->isRunning()) {
        instance.process->sendSignal(signal);
    }
}

Asio::awaitable<void> EntryFleet::startProcess(int index)
{
    Instance &instance = this->instances[static_cast<std::size_t>(index)];
    // Starting blocks until the process listens, so it happens on a thread of its own.
    auto started = std::async(std::launch::async, [file = instance.settingsFile] {
        return std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", file});
    });
    while (started.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        co_await this->pause(pollInterval);
    }
    instance.process = started.get();
    this->confine(*instance.process);
}

Asio::awaitable<void> EntryFleet::replace(int index, Freeze freeze)
{
    Instance &instance = this->instances[static_cast<std::size_t>(index)];
    instance.isReplaced = true;
    const MonotonicTime begin = monotonicNow();
    const MonotonicTime end = begin + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->settings.stopLimit));
    this->planned.push_back({WorkKind::Stop, index, begin});
    instance.process->sendSignal(SIGTERM);
    if (freeze.length > Duration::zero()) {
        co_await this->pause(freeze.at);
        const MonotonicTime from = monotonicNow();
        instance.process->sendSignal(SIGSTOP);
        co_await this->pause(freeze.length);
        instance.process->sendSignal(SIGCONT);
        this->frozen.push_back({index, from, monotonicNow()});
    }
    while (instance.process->isRunning() && monotonicNow() < end) {
        co_await this->pause(pollInterval);
    }
    if (instance.process->isRunning()) {
        instance.process->sendSignal(SIGKILL);
    }
    instance.process->wait();
    for (std::string &line : instance.process->logLines()) {
        instance.log.push_back(std::move(line));
    }
    co_await this->startProcess(index);
    instance.isReplaced = false;
}

const std::vector<PlannedWork> &EntryFleet::works() const
{
    return this->planned;
}

const std::vector<Disruption> &EntryFleet::disruptions() const
{
    return this->frozen;
}

std::vector<std::string> EntryFleet::logLines(int index) const
{
    const Instance &instance = this->instances[static_cast<std::size_t>(index)];
    std::vector<std::string> lines = instance.log;
    for (std::string &line : instance.process->logLines()) {
        lines.push_back(std::move(line));
    }
    return lines;
}

void EntryFleet::keepLogs(const std::string &target) const
{
    boost::filesystem::create_directories(target);
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        std::ofstream file(target + "/" + this->instances[i].name + ".log");
        for (const std::string &line : this->logLines(static_cast<int>(i))) {
            file << line << "\n";
        }
    }
}

} // namespace Godwitfork
