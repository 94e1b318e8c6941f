#pragma once

#include "LibHttp/HttpMessage.h"

#include <chrono>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class OutputForm { Text, Json };

/// Exit codes, which scripts rely on.
constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitNotReachable = 3;

/// The command line.
struct Options {
    std::string command;
    std::vector<std::string> arguments;
    std::vector<HttpAddress> servers;
    std::string operatorKey;
    OutputForm output = OutputForm::Text;
    std::string site;
    std::string comment;
    /// Revision that `apply` replaces, or `current`; empty if it is not given.
    std::string basedOn;
    std::string token;
    bool mayReinstate = false;
    bool mayLeaveNoStableVersion = false;
    int limit = 20;
    /// How long to wait until the revision is in force on every instance; 0 reports once.
    std::chrono::seconds wait {0};
};

} // namespace Godwitfork
