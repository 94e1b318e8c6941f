#include "RouterSettings.h"

#include "LibSettings/CommonSettings.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <system_error>

namespace Godwitfork
{

namespace
{
/// 128 bits; shorter HMAC keys can be found by brute force.
constexpr std::size_t minKeyBytes = 16;
constexpr std::size_t bytesInMb = 1'000'000;
constexpr long maxMemoryLimitMb = 1'000'000;
/// Parts of the process's memory, as divisors. The rest is for the program, what it makes of the requests, and the journal.
constexpr std::size_t trafficMemoryDivisor = 4;
constexpr std::size_t administrationMemoryDivisor = 32;
/// Room for a configuration of the largest size beside others.
constexpr std::size_t leastAdministrationMemory = std::size_t {8} * bytesInMb;

HttpAddress readOptionalAddress(SettingsReader &reader, const std::string &key)
{
    return reader.text(key, "").empty() ? HttpAddress() : readAddress(reader, key);
}

RoutingSettings readRouting(SettingsReader &reader)
{
    RoutingSettings routing;
    const auto policy = parseRoutingPolicy(reader.text("routing_policy", "power_of_two"));
    if (!policy) {
        reader.addFinding("routing_policy", "must be power_of_two, round_robin or least_outstanding");
    }
    routing.policy = policy.value_or(RoutingPolicy::PowerOfTwo);
    routing.longJobShare = static_cast<double>(reader.integer("long_job_share_percent", 50, 1, 100)) / 100;
    routing.longJobTokens = static_cast<double>(reader.integer("long_job_tokens", 1000, 1, 10'000'000));
    return routing;
}

AdmissionControl readAdmission(SettingsReader &reader)
{
    const std::string text = reader.text("admission_control", "on");
    if (text != "on" && text != "off") {
        reader.addFinding("admission_control", "must be on or off");
    }
    return text == "off" ? AdmissionControl::Off : AdmissionControl::On;
}

std::string readKey(SettingsReader &reader, const std::string &key, const std::string &path)
{
    if (path.empty()) {
        return {};
    }
    try {
        std::string content = readFile(path);
        if (content.size() < minKeyBytes) {
            reader.addFinding(key, "the key must have at least " + std::to_string(minKeyBytes) + " bytes");
        }
        return content;
    } catch (const std::system_error &error) {
        reader.addFinding(key, error.what());
        return {};
    }
}

/// Least memory with which each traffic thread has room for two bodies of the largest size from one client.
long leastMemoryLimitMb(const RouterSettings &settings)
{
    constexpr long memoryPerBody = 18;
    return memoryPerBody * settings.trafficThreads * settings.maxBodyBytes / static_cast<long>(bytesInMb);
}

std::string joinWithCommas(const std::vector<std::string> &texts)
{
    std::string joined;
    for (const std::string &text : texts) {
        joined += (joined.empty() ? "" : ", ") + text;
    }
    return joined;
}

} // namespace

RouterSettings parseRouterSettings(const std::string &file, const std::string &text, Findings &findings)
{
    SettingsReader reader(file, text);
    RouterSettings settings;
    settings.instance = reader.requiredText("instance");
    settings.site = reader.requiredText("site");
    settings.failureDomain = reader.requiredText("failure_domain");
    settings.listen = readAddress(reader, "listen");
    settings.store = readAddress(reader, "store");
    settings.administrationListen = readOptionalAddress(reader, "administration_listen");
    settings.administrationKeyHashes = reader.texts("administration_key_hashes");
    settings.trafficThreads = static_cast<int>(reader.integer("traffic_threads", 2, 1, 64));
    settings.logLevel = readLogLevel(reader);
    settings.storeTimeout = reader.milliseconds("store_timeout_ms", 2000, 10, 60000);
    settings.configurationLease = reader.milliseconds("configuration_lease_ms", 4000, 500, 4000);
    settings.defaultDeadline = reader.milliseconds("default_deadline_ms", 120000, 100, 600000);
    settings.stopLimit = reader.milliseconds("stop_limit_ms", 600000, 100, 600000);
    settings.balancerDelay = reader.milliseconds("balancer_delay_ms", 5000, 0, 60000);
    settings.maxBodyBytes = reader.integer("max_body_bytes", 1024 * 1024, 1024, 64L * 1024 * 1024);
    settings.connections = readConnectionSettings(reader);
    const long leastMemoryMb = leastMemoryLimitMb(settings);
    settings.memoryLimitMb = reader.integer("memory_limit_mb", std::max(settings.memoryLimitMb, leastMemoryMb), 64, maxMemoryLimitMb);
    if (settings.memoryLimitMb < leastMemoryMb) {
        reader.addFinding("memory_limit_mb", "must be at least " + std::to_string(leastMemoryMb) + " with these max_body_bytes and traffic_threads");
    }
    settings.sessionKeyFile = reader.requiredText("session_key_file");
    settings.routing = readRouting(reader);
    settings.admission = readAdmission(reader);
    settings.loadPollInterval = reader.milliseconds("load_poll_ms", 1000, 50, 60000);
    settings.peerListen = readOptionalAddress(reader, "peer_listen");
    settings.peerKeyFile = settings.peerListen.host.empty() ? reader.text("peer_key_file", "") : reader.requiredText("peer_key_file");
    settings.peerKey = readKey(reader, "peer_key_file", settings.peerKeyFile);
    settings.instanceList = readOptionalAddress(reader, "instance_list");
    settings.sessionKey = readKey(reader, "session_key_file", settings.sessionKeyFile);
    findings.append(reader.finish());
    return settings;
}

std::size_t trafficMemory(const RouterSettings &settings)
{
    return static_cast<std::size_t>(settings.memoryLimitMb) * bytesInMb / trafficMemoryDivisor;
}

std::size_t administrationMemory(const RouterSettings &settings)
{
    return std::max(leastAdministrationMemory, static_cast<std::size_t>(settings.memoryLimitMb) * bytesInMb / administrationMemoryDivisor);
}

std::string printRouterSettings(const RouterSettings &settings)
{
    std::ostringstream text;
    text << "instance: " << settings.instance << "\n"
         << "site: " << settings.site << "\n"
         << "failure_domain: " << settings.failureDomain << "\n"
         << "listen: " << toText(settings.listen) << "\n"
         << "store: " << toText(settings.store) << "\n"
         << "administration_listen: " << (settings.administrationListen.host.empty() ? "" : toText(settings.administrationListen)) << "\n"
         << "administration_key_hashes: [" << joinWithCommas(settings.administrationKeyHashes) << "]\n"
         << "traffic_threads: " << settings.trafficThreads << "\n"
         << "log_level: " << logLevelName(settings.logLevel) << "\n"
         << "store_timeout_ms: " << toMilliseconds(settings.storeTimeout) << "\n"
         << "configuration_lease_ms: " << toMilliseconds(settings.configurationLease) << "\n"
         << "default_deadline_ms: " << toMilliseconds(settings.defaultDeadline) << "\n"
         << "stop_limit_ms: " << toMilliseconds(settings.stopLimit) << "\n"
         << "balancer_delay_ms: " << toMilliseconds(settings.balancerDelay) << "\n"
         << "max_body_bytes: " << settings.maxBodyBytes << "\n"
         << printConnectionSettings(settings.connections) << "memory_limit_mb: " << settings.memoryLimitMb << "\n"
         << "session_key_file: " << settings.sessionKeyFile << "\n"
         << "routing_policy: " << toText(settings.routing.policy) << "\n"
         << "long_job_share_percent: " << std::lround(settings.routing.longJobShare * 100) << "\n"
         << "long_job_tokens: " << std::lround(settings.routing.longJobTokens) << "\n"
         << "admission_control: " << (settings.admission == AdmissionControl::On ? "on" : "off") << "\n"
         << "load_poll_ms: " << toMilliseconds(settings.loadPollInterval) << "\n"
         << "peer_listen: " << (settings.peerListen.host.empty() ? "" : toText(settings.peerListen)) << "\n"
         << "peer_key_file: " << settings.peerKeyFile << "\n"
         << "instance_list: " << (settings.instanceList.host.empty() ? "" : toText(settings.instanceList)) << "\n";
    return text.str();
}

} // namespace Godwitfork
