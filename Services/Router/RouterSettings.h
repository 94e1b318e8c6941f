#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Log.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"
#include "LibRouting/EndpointChoice.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// `Off` is the baseline that measurements compare against.
enum class AdmissionControl { On, Off };

/// Settings of one router process, read once at its start. The documented defaults are in docs/settings.md.
struct RouterSettings {
    std::string instance;
    std::string site;
    std::string failureDomain;
    HttpAddress listen;
    HttpAddress store;
    /// Address of the administration API; no host means that this instance does not serve it.
    HttpAddress administrationListen;
    /// SHA-256 of operator keys that are valid whatever the configuration says.
    std::vector<std::string> administrationKeyHashes;
    int trafficThreads = 2;
    LogLevel logLevel = LogLevel::Info;
    Duration storeTimeout = std::chrono::seconds(2);
    Duration configurationLease = std::chrono::seconds(4);
    Duration defaultDeadline = std::chrono::seconds(120);
    /// Longest deadline of a request, and therefore the longest time that a graceful stop takes.
    Duration stopLimit = std::chrono::seconds(600);
    /// Time between turning not ready and closing the listener, so that the platform's balancer notices.
    Duration balancerDelay = std::chrono::seconds(5);
    long maxBodyBytes = 1024 * 1024;
    long maxConnections = 4096;
    std::string sessionKeyFile;
    RoutingSettings routing;
    AdmissionControl admission = AdmissionControl::On;
    /// Longest time between two load reports of an endpoint.
    Duration loadPollInterval = std::chrono::seconds(1);
    /// Platform's list of live and leaving instances; empty for none.
    /// Listener for links with other routers; without one the instance has neither journal keepers nor gossip.
    HttpAddress peerListen;
    std::string peerKeyFile;
    /// Content of `peerKeyFile`; never logged or printed.
    std::string peerKey;
    HttpAddress instanceList;
    /// Content of `sessionKeyFile`; never logged or printed.
    std::string sessionKey;
};

/// Reads settings from YAML text; adds every mistake to `findings`.
RouterSettings parseRouterSettings(const std::string &file, const std::string &text, Findings &findings);
/// YAML text with every setting and its value in force.
std::string printRouterSettings(const RouterSettings &settings);

} // namespace Godwitfork
