#include "ChildProcess.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <nlohmann/json.hpp>

#include <linux/close_range.h>
#include <unistd.h>

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace Godwitfork
{

namespace Process = boost::process;

namespace
{
constexpr auto startLimit = std::chrono::seconds(20);

/// Runs in the new process before its program. A process that inherits pipes and sockets of this one holds them open beyond their end here.
constexpr auto closeInherited = [](auto &) { ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC); };

std::string binFolder()
{
    const char *folder = std::getenv("GODWITFORK_BIN");
    return folder == nullptr ? "Build/default/bin" : folder;
}
} // namespace

struct ChildProcess::State {
    Process::child child;
    Process::ipstream output;
    std::thread reader;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> lines;
    std::string listening;
    bool ended = false;

    void read()
    {
        for (std::string line; std::getline(this->output, line);) {
            const std::lock_guard lock(this->mutex);
            if (this->listening.empty() && line.find("\"event\":\"listening\"") != std::string::npos) {
                this->listening = line;
            }
            this->lines.push_back(line);
            this->changed.notify_all();
        }
        const std::lock_guard lock(this->mutex);
        this->ended = true;
        this->changed.notify_all();
    }
};

ChildProcess::ChildProcess(const std::string &program, std::vector<std::string> arguments) : state(std::make_unique<State>())
{
    this->state->child = Process::child(
        binFolder() + "/" + program, Process::args(arguments), Process::std_out > this->state->output, Process::extend::on_exec_setup(closeInherited));
    this->state->reader = std::thread([state = this->state.get()] { state->read(); });
    std::unique_lock lock(this->state->mutex);
    this->state->changed.wait_for(lock, startLimit, [this] { return this->state->ended || !this->state->listening.empty(); });
    if (this->state->listening.empty()) {
        lock.unlock();
        this->sendSignal(SIGKILL);
        this->wait();
        throw std::runtime_error(program + " did not log 'listening'");
    }
}

ChildProcess::~ChildProcess()
{
    if (this->state->child.running()) {
        this->sendSignal(SIGCONT);
        this->sendSignal(SIGKILL);
    }
    this->wait();
}

nlohmann::json ChildProcess::listeningEvent() const
{
    return nlohmann::json::parse(this->state->listening);
}

HttpAddress ChildProcess::address() const
{
    return parseHttpAddress(this->listeningEvent().at("address").get<std::string>());
}

std::vector<std::string> ChildProcess::logLines() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->lines;
}

void ChildProcess::sendSignal(int signal)
{
    ::kill(this->state->child.id(), signal);
}

bool ChildProcess::isRunning()
{
    std::error_code ignored;
    return this->state->child.running(ignored);
}

int ChildProcess::processId() const
{
    return this->state->child.id();
}

int ChildProcess::wait()
{
    std::error_code ignored;
    this->state->child.wait(ignored);
    if (this->state->reader.joinable()) {
        this->state->reader.join();
    }
    return WIFEXITED(this->state->child.native_exit_code()) ? this->state->child.exit_code() : -1;
}

} // namespace Godwitfork
