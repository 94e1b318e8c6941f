#include "LibEntry/EntrySettings.h"

#include "Contracts.h"
#include "LibSettings/CommonSettings.h"

#include <sstream>

namespace Godwitfork
{

namespace
{
std::vector<HttpAddress> readSeeds(SettingsReader &reader)
{
    std::vector<HttpAddress> seeds;
    for (const std::string &text : reader.texts("seeds")) {
        const HttpAddress address = parseHttpAddress(text);
        if (address.host.empty()) {
            reader.addFinding("seeds", "'" + text + "' is not an IP address and a port");
        } else {
            seeds.push_back(address);
        }
    }
    return seeds;
}

/// Reads a real number, as text, since the platform writes whole numbers without a decimal point.
double readFraction(SettingsReader &reader, const std::string &key, double fallback, double minimum, double maximum)
{
    const std::string text = reader.text(key, "");
    if (text.empty()) {
        return fallback;
    }
    try {
        std::size_t used = 0;
        const double value = std::stod(text, &used);
        if (used == text.size() && value >= minimum && value <= maximum) {
            return value;
        }
    } catch (const std::logic_error &) {
        // Reported below, together with values that are out of range.
    }
    reader.addFinding(key, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

Duration readSeconds(SettingsReader &reader, const std::string &key, double fallback, double minimum, double maximum)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(readFraction(reader, key, fallback, minimum, maximum)));
}

/// Reads a list of `failure domain=region`.
std::map<std::string, std::string> readDomainRegions(SettingsReader &reader)
{
    std::map<std::string, std::string> regions;
    for (const std::string &text : reader.texts("domain_regions")) {
        const std::size_t separator = text.find('=');
        if (separator == std::string::npos || separator == 0 || separator + 1 == text.size()) {
            reader.addFinding("domain_regions", "'" + text + "' is not a failure domain, '=' and a region");
        } else {
            regions[text.substr(0, separator)] = text.substr(separator + 1);
        }
    }
    return regions;
}

bool readSwitch(SettingsReader &reader, const std::string &key, bool fallback)
{
    const std::string text = reader.text(key, fallback ? "on" : "off");
    if (text != "on" && text != "off") {
        reader.addFinding(key, "must be 'on' or 'off'");
        return fallback;
    }
    return text == "on";
}

const char *switchText(bool isOn)
{
    return isOn ? "on" : "off";
}
} // namespace

EntrySettings parseEntrySettings(const std::string &file, const std::string &text, Findings &findings)
{
    SettingsReader reader(file, text);
    EntrySettings settings;
    settings.instance = reader.requiredText("instance");
    settings.failureDomain = reader.requiredText("failure_domain");
    settings.callers = readAddress(reader, "listen");
    settings.readiness = readAddress(reader, "readiness_listen");
    settings.peers = readAddress(reader, "peer_listen");
    settings.metrics = readAddress(reader, "metrics_listen");
    settings.store = readAddress(reader, "store");
    settings.seeds = readSeeds(reader);
    settings.coreShare = readFraction(reader, "core_share", settings.coreShare, 0.001, 1024);
    settings.logLevel = readLogLevel(reader);
    settings.memoryLimitMb = reader.integer("memory_limit_mb", settings.memoryLimitMb, minMemoryLimitMb, maxMemoryLimitMb);
    settings.connections = readConnectionSettings(reader);
    settings.stopLimit = readSeconds(reader, "stop_limit_s", 8, 0.5, 600);
    settings.retryRatio = readFraction(reader, "retry_ratio", settings.retryRatio, 0, 10);
    settings.retryAllowance = reader.integer("retry_allowance", settings.retryAllowance, 0, 1'000'000);
    settings.retryWindow = readSeconds(reader, "retry_window_s", 10, 1, 600);
    settings.exposureShare = readFraction(reader, "exposure_share", settings.exposureShare, 0, 1);
    settings.exposureTolerance = reader.integer("exposure_tolerance", settings.exposureTolerance, 0, 1'000'000);
    settings.rollbackLimit = reader.milliseconds("rollback_limit_ms", 5000, 100, 600'000);
    settings.maxAnswerBytes = reader.integer("max_answer_bytes", settings.maxAnswerBytes, 1024, 1L << 30);
    settings.maxStreamBytes = reader.integer("max_stream_bytes", settings.maxStreamBytes, 1024, 1L << 40);
    settings.drainLimit = reader.milliseconds("drain_limit_ms", 5000, 500, 600'000);
    settings.configurationLimit = reader.milliseconds("configuration_limit_ms", 5000, 500, 600'000);
    settings.sessionLifetime = readSeconds(reader, "session_lifetime_s", 5, 0, 86'400);
    const Platform::DeploymentNeeds needs = Platform::readContracts(reader.texts("contracts"));
    settings.coldOverage = readFraction(reader, "cold_overage", settings.coldOverage, 0, 1000);
    settings.coldTolerance = readFraction(reader, "cold_tolerance", settings.coldTolerance, 0, 1'000'000);
    settings.evacuationLimit = reader.milliseconds("evacuation_limit_ms", 0, 0, 600'000);
    settings.domainRegions = readDomainRegions(reader);
    settings.learnsCapacity = readSwitch(reader, "learned_capacity", needs.hasEndpointsUnderPressure);
    settings.sendsPriorities = readSwitch(reader, "engine_priorities", needs.hasEndpointsUnderPressure);
    settings.controlsOverload = readSwitch(reader, "overload_control", false);
    findings.append(reader.finish());
    return settings;
}

std::string printEntrySettings(const EntrySettings &settings)
{
    const auto seconds = [](Duration time) { return std::chrono::duration<double>(time).count(); };
    const auto milliseconds = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    std::ostringstream out;
    out << "instance: " << settings.instance << "\n"
        << "failure_domain: " << settings.failureDomain << "\n"
        << "listen: " << toText(settings.callers) << "\n"
        << "readiness_listen: " << toText(settings.readiness) << "\n"
        << "peer_listen: " << toText(settings.peers) << "\n"
        << "metrics_listen: " << toText(settings.metrics) << "\n"
        << "store: " << toText(settings.store) << "\n"
        << "seeds:\n";
    for (const HttpAddress &seed : settings.seeds) {
        out << "  - " << toText(seed) << "\n";
    }
    out << "core_share: " << settings.coreShare << "\n"
        << "log_level: " << logLevelName(settings.logLevel) << "\n"
        << "memory_limit_mb: " << settings.memoryLimitMb << "\n"
        << printConnectionSettings(settings.connections) << "stop_limit_s: " << seconds(settings.stopLimit) << "\n"
        << "retry_ratio: " << settings.retryRatio << "\n"
        << "retry_allowance: " << settings.retryAllowance << "\n"
        << "retry_window_s: " << seconds(settings.retryWindow) << "\n"
        << "exposure_share: " << settings.exposureShare << "\n"
        << "exposure_tolerance: " << settings.exposureTolerance << "\n"
        << "rollback_limit_ms: " << milliseconds(settings.rollbackLimit) << "\n"
        << "max_answer_bytes: " << settings.maxAnswerBytes << "\n"
        << "max_stream_bytes: " << settings.maxStreamBytes << "\n"
        << "drain_limit_ms: " << milliseconds(settings.drainLimit) << "\n"
        << "configuration_limit_ms: " << milliseconds(settings.configurationLimit) << "\n"
        << "session_lifetime_s: " << seconds(settings.sessionLifetime) << "\n"
        << "cold_overage: " << settings.coldOverage << "\n"
        << "cold_tolerance: " << settings.coldTolerance << "\n"
        << "evacuation_limit_ms: " << milliseconds(settings.evacuationLimit) << "\n"
        << "learned_capacity: " << switchText(settings.learnsCapacity) << "\n"
        << "engine_priorities: " << switchText(settings.sendsPriorities) << "\n"
        << "overload_control: " << switchText(settings.controlsOverload) << "\n"
        << (settings.domainRegions.empty() ? "domain_regions: []\n" : "domain_regions:\n");
    for (const auto &[domain, region] : settings.domainRegions) {
        out << "  - " << domain << "=" << region << "\n";
    }
    return out.str();
}

} // namespace Godwitfork
