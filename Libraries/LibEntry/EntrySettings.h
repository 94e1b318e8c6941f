#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Log.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"
#include "LibSettings/ConnectionSettings.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// The least memory of an instance on the platform, in units of 1,000,000 bytes.
constexpr long defaultMemoryLimitMb = 88;
constexpr long minMemoryLimitMb = 32;
constexpr long maxMemoryLimitMb = 1'000'000;

/// Settings of one entry process. Defaults and ranges are documented in docs/settings.md.
struct EntrySettings {
    std::string instance;
    std::string failureDomain;
    HttpAddress callers;
    HttpAddress readiness;
    /// Listener address for the other entry instances.
    HttpAddress peers;
    /// Listener address for metrics.
    HttpAddress metrics;
    HttpAddress store;
    /// Peer addresses of some instances, through which the other members of the fleet are discovered.
    std::vector<HttpAddress> seeds;
    /// CPU cores that the process may use; fractions are allowed.
    double coreShare = 1;
    LogLevel logLevel = LogLevel::Info;
    /// Memory that the process may use, in units of 1,000,000 bytes.
    long memoryLimitMb = defaultMemoryLimitMb;
    ConnectionSettings connections;
    /// Longest time from SIGTERM to the exit of the process.
    Duration stopLimit = std::chrono::seconds(8);
    /// Retries that each request adds to a service's retry budget, over all instances.
    double retryRatio = 0.1;
    /// Retries allowed per service in addition to `retryRatio`, over all instances.
    long retryAllowance = 0;
    Duration retryWindow = std::chrono::seconds(10);
    /// Largest share of a service's requests that may reach a canary version, 0 to 1.
    double exposureShare = 0.1;
    /// Requests of a service that may reach a bad canary version in addition to that share.
    long exposureTolerance = 0;
    /// Time within which a rejected canary version must stop receiving requests.
    Duration rollbackLimit = std::chrono::seconds(5);
    /// Largest plain answer of an endpoint in bytes; it is held in memory until it is complete.
    long maxAnswerBytes = 4L * 1024 * 1024;
    /// Largest streamed answer of an endpoint in bytes.
    long maxStreamBytes = 64L * 1024 * 1024;
    /// Time within which a leaving endpoint must get no new requests.
    Duration drainLimit = std::chrono::seconds(5);
    /// Time within which a new configuration must be in force.
    Duration configurationLimit = std::chrono::seconds(5);
    /// Idle time after which a session may move to another version.
    Duration sessionLifetime = std::chrono::seconds(5);
    /// Requests that a cold endpoint may get in any second, from all instances: its stated rate times the overage, plus the tolerance.
    double coldOverage = 1;
    double coldTolerance = 0;
    /// Time within which an evacuated failure domain must get no more requests; zero if evacuations are not followed.
    Duration evacuationLimit = Duration::zero();
    /// Region of each failure domain.
    std::map<std::string, std::string> domainRegions;
    /// Whether the capacity of each endpoint is learned from the times of its answers.
    bool learnsCapacity = false;
    /// Whether engines are told the priority of the account or the route, so that they admit urgent requests first.
    bool sendsPriorities = false;
    /// Whether requests that cannot be served in time are refused.
    bool controlsOverload = false;

    auto operator<=>(const EntrySettings &) const = default;
};

/// Parses settings from YAML text and adds every error to `findings`.
EntrySettings parseEntrySettings(const std::string &file, const std::string &text, Findings &findings);
/// Returns YAML text with every setting and its value in force.
std::string printEntrySettings(const EntrySettings &settings);

} // namespace Godwitfork
