#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Log.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"
#include "LibRouting/EndpointChoice.h"
#include "LibSettings/ConnectionSettings.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// Whether requests pass admission control; `Off` is the baseline for measurements.
enum class AdmissionControl { On, Off };

/// Settings of one router process, read once at startup. docs/settings.md documents them and their defaults.
struct RouterSettings {
    std::string instance;
    std::string site;
    std::string failureDomain;
    HttpAddress listen;
    HttpAddress store;
    /// Listen address of the administration API; an empty host disables it.
    HttpAddress administrationListen;
    /// SHA-256 hashes of operator keys that are valid in addition to those in the configuration.
    std::vector<std::string> administrationKeyHashes;
    int trafficThreads = 2;
    LogLevel logLevel = LogLevel::Info;
    Duration storeTimeout = std::chrono::seconds(2);
    Duration configurationLease = std::chrono::seconds(4);
    Duration defaultDeadline = std::chrono::seconds(120);
    /// Longest deadline of a request, and therefore the longest time that a graceful stop waits for requests in flight.
    Duration stopLimit = std::chrono::seconds(600);
    /// Time between becoming not ready and closing the listener, so that the platform's load balancer stops sending requests.
    Duration balancerDelay = std::chrono::seconds(5);
    long maxBodyBytes = 1024 * 1024;
    ConnectionSettings connections;
    /// Memory that the process may use, in units of 1,000,000 bytes.
    long memoryLimitMb = 512;
    std::string sessionKeyFile;
    RoutingSettings routing;
    AdmissionControl admission = AdmissionControl::On;
    /// Longest time between two load polls of an endpoint.
    Duration loadPollInterval = std::chrono::seconds(1);
    /// Listen address for links with other routers; an empty host disables gossip and journal replication.
    HttpAddress peerListen;
    std::string peerKeyFile;
    /// Content of `peerKeyFile`; never logged or printed.
    std::string peerKey;
    /// Address of the platform's list of live and leaving instances; an empty host disables polling it.
    HttpAddress instanceList;
    /// Content of `sessionKeyFile`; never logged or printed.
    std::string sessionKey;
};

/// Parses settings from YAML text and adds every error to `findings`.
RouterSettings parseRouterSettings(const std::string &file, const std::string &text, Findings &findings);
/// Bytes that the connections of callers may hold, on all threads together.
std::size_t trafficMemory(const RouterSettings &settings);
/// Bytes that the connections to the administration API may hold.
std::size_t administrationMemory(const RouterSettings &settings);
/// YAML text with every setting and its effective value.
std::string printRouterSettings(const RouterSettings &settings);

} // namespace Godwitfork
