#include "LibEntry/EntrySettings.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const std::string complete = R"(
instance: entry-1
failure_domain: a
listen: 10.0.0.1:80
readiness_listen: 10.0.0.1:81
peer_listen: 10.0.0.1:82
metrics_listen: 10.0.0.1:83
store: 10.0.0.9:90
seeds: ["10.0.0.2:82"]
)";
}

TEST_CASE("Printed settings parse back to the same values", "[settings]")
{
    Findings findings;
    const EntrySettings settings = parseEntrySettings("s.yaml", complete + "stop_limit_s: 8\nretry_ratio: 0.9\ncore_share: 0.25\n", findings);
    CHECK(findings.isEmpty());
    CHECK(settings.stopLimit == 8s);
    CHECK(settings.retryRatio == Approx(0.9));
    CHECK(settings.seeds.size() == 1);
    CHECK(parseEntrySettings("s.yaml", printEntrySettings(settings), findings) == settings);
    CHECK(findings.isEmpty());
}

TEST_CASE("Parsing reports every error in the settings", "[settings]")
{
    Findings findings;
    parseEntrySettings("s.yaml", "instance: x\nlisten: nowhere\nretry_ratio: much\nlog_level: loud\nunknown: 1\nseeds: [x]\n", findings);
    // Five missing keys and five invalid values or unknown keys.
    CHECK(findings.entries().size() == 10);
}

TEST_CASE("The memory limit is checked and printed", "[settings]")
{
    Findings findings;
    const EntrySettings settings = parseEntrySettings("s.yaml", complete + "memory_limit_mb: 260\n", findings);
    CHECK(findings.isEmpty());
    CHECK(settings.memoryLimitMb == 260);
    CHECK(parseEntrySettings("s.yaml", printEntrySettings(settings), findings) == settings);
    CHECK(parseEntrySettings("s.yaml", complete, findings).memoryLimitMb == defaultMemoryLimitMb);
    CHECK(findings.isEmpty());
    parseEntrySettings("s.yaml", complete + "memory_limit_mb: 31\n", findings);
    CHECK(findings.entries().size() == 1);
}

// Guards against parts that take effect where the deployment does not call for them.
TEST_CASE("Parts for endpoints under pressure, cold endpoints and evacuations are off unless the settings call for them", "[settings]")
{
    Findings findings;
    const EntrySettings plain = parseEntrySettings("s.yaml", complete + "contracts: [base, engine, pool]\n", findings);
    CHECK_FALSE(plain.learnsCapacity);
    CHECK_FALSE(plain.sendsPriorities);
    CHECK_FALSE(plain.controlsOverload);
    CHECK(plain.evacuationLimit == 0s);
    const std::string asked = "contracts: [base, pressure]\nengine_priorities: off\nevacuation_limit_ms: 5000\ncold_overage: 1.5\ncold_tolerance: 5\n"
                              "domain_regions: [\"a=north\", \"b=south\"]\n";
    const EntrySettings settings = parseEntrySettings("s.yaml", complete + asked, findings);
    CHECK(settings.learnsCapacity);
    CHECK_FALSE(settings.sendsPriorities);
    CHECK_FALSE(settings.controlsOverload);
    CHECK(parseEntrySettings("s.yaml", complete + "overload_control: on\n", findings).controlsOverload);
    CHECK(settings.evacuationLimit == 5s);
    CHECK(settings.coldOverage == Approx(1.5));
    CHECK(settings.coldTolerance == Approx(5));
    CHECK(settings.domainRegions.at("b") == "south");
    CHECK(parseEntrySettings("s.yaml", printEntrySettings(settings), findings) == settings);
    CHECK(findings.isEmpty());
    parseEntrySettings("s.yaml", complete + "learned_capacity: maybe\ndomain_regions: [north]\n", findings);
    CHECK(findings.entries().size() == 2);
}

// Guards against limits of callers' connections that are not read, not printed or not checked.
TEST_CASE("The limits of the callers' connections are read, checked and printed", "[settings]")
{
    Findings findings;
    const ConnectionSettings defaults = parseEntrySettings("s.yaml", complete, findings).connections;
    CHECK(defaults == ConnectionSettings {});
    const std::string given = "max_connections: 100\naddress_share_percent: 50\nbody_grace_ms: 2000\nmin_body_bytes_per_s: 0\n";
    const EntrySettings settings = parseEntrySettings("s.yaml", complete + given, findings);
    CHECK(settings.connections.maxConnections == 100);
    CHECK(settings.connections.addressSharePercent == 50);
    CHECK(settings.connections.progress.grace == 2s);
    CHECK(settings.connections.progress.bytesPerSecond == Approx(0));
    CHECK(findings.isEmpty());
    CHECK(printEntrySettings(settings).find(given) != std::string::npos);
    parseEntrySettings("s.yaml", complete + "max_connections: 0\naddress_share_percent: 101\n", findings);
    CHECK(findings.entries().size() == 2);
}
