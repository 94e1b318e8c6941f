#pragma once

#include "LibHttp/HttpMessage.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A program of this project, started by a test and ended with it. Its JSON-line log is kept line by line.
class ChildProcess
{
public:
    /// Starts `program` from the build's bin folder and returns once it has logged `listening`.
    ChildProcess(const std::string &program, std::vector<std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    HttpAddress address() const;
    /// The fields of the `listening` event.
    nlohmann::json listeningEvent() const;
    std::vector<std::string> logLines() const;
    void sendSignal(int signal);
    bool isRunning();
    int processId() const;
    /// Waits for the process to end and returns its exit code, or -1 after a signal.
    int wait();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
