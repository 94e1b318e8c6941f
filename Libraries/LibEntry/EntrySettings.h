#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Log.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// Settings of one entry process. docs/settings.md has the defaults and ranges.
struct EntrySettings {
    std::string instance;
    std::string failureDomain;
    HttpAddress callers;
    HttpAddress readiness;
    /// Listener for the other entry instances.
    HttpAddress peers;
    /// Listener of metrics.
    HttpAddress metrics;
    HttpAddress store;
    /// Peer listeners of some instances, from which the others are learned.
    std::vector<HttpAddress> seeds;
    /// Share of a core that the process may use.
    double coreShare = 1;
    LogLevel logLevel = LogLevel::Info;
    /// Time between SIGTERM and the end of the process.
    Duration stopLimit = std::chrono::seconds(8);
    /// Extra arrivals at a service that each request allows, over all instances.
    double retryRatio = 0.1;
    /// Extra arrivals at a service that are allowed besides, over all instances.
    long retryAllowance = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Largest share of a service's requests that may reach a version under trial.
    double exposureShare = 0.1;
    /// Time within which a version found bad gets no more requests.
    Duration rollbackLimit = std::chrono::seconds(5);
    /// Pause between requests up to which a session keeps its version.
    Duration sessionLifetime = std::chrono::seconds(5);

    auto operator<=>(const EntrySettings &) const = default;
};

/// Reads settings from YAML text; adds every mistake to `findings`.
EntrySettings parseEntrySettings(const std::string &file, const std::string &text, Findings &findings);
/// YAML text with every setting and its value in force.
std::string printEntrySettings(const EntrySettings &settings);

} // namespace Godwitfork
