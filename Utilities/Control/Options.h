#pragma once

#include "LibHttp/HttpMessage.h"

#include <chrono>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class OutputFormat { Text, Json };

/// Exit codes; scripts rely on their values.
constexpr int exitOk = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitNotReachable = 3;

/// Parsed command line.
struct Options {
    std::string command;
    std::vector<std::string> arguments;
    /// Administration addresses of the instances.
    std::vector<HttpAddress> servers;
    std::string operatorKey;
    OutputFormat output = OutputFormat::Text;
    /// Site that the change is limited to; empty for all sites.
    std::string site;
    /// Comment for the configuration's history.
    std::string comment;
    /// Revision that `apply` replaces, or `current`; empty if the option is missing.
    std::string basedOn;
    /// Token of an earlier attempt of the same command; empty to generate one.
    std::string token;
    /// Whether a withdrawn version may return to service.
    bool mayReinstate = false;
    /// Whether the change may leave a model without a stable version.
    bool mayLeaveNoStableVersion = false;
    /// Largest number of revisions that `history` lists.
    int limit = 20;
    /// Longest time to wait until the revision is in force on every instance; with 0 the status is reported once.
    std::chrono::seconds wait {0};
};

} // namespace Godwitfork
