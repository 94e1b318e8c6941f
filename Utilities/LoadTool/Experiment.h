#pragma once

#include "LibCore/Finding.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Change of the arrival rate: it moves to `factor` times the base rate within `ramp` and back within the same time.
struct Swing {
    Duration at = {};
    Duration ramp = {};
    double factor = 1;
    Duration until = {};

    auto operator<=>(const Swing &) const = default;
};

struct LoadAccount {
    std::string name;
    std::string key;
    std::string model;
    /// Weight of the account among all accounts.
    double share = 1;

    auto operator<=>(const LoadAccount &) const = default;
};

enum class TargetKind { Router, Engine };

/// One way to serve the same load. With several targets the requests take turns.
struct LoadVariant {
    std::string name;
    TargetKind kind = TargetKind::Router;
    std::vector<HttpAddress> targets;
    /// `model:version` asked of an engine; empty for routers, which get the account's model.
    std::string engineModel;

    auto operator<=>(const LoadVariant &) const = default;
};

/// Call of a fault proxy's control API at a time of each run.
struct ScheduledFault {
    Duration at = {};
    HttpAddress control;
    std::string route;
    /// JSON text of the faults, or empty to freeze the open connections.
    std::string faults;

    auto operator<=>(const ScheduledFault &) const = default;
};

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    int repetitions = 1;
    Duration duration = {};
    /// Requests meant to be sent before this time count in the checks but not in the histograms.
    Duration warmup = {};
    double requestsPerSecond = 0;
    std::vector<Swing> swings;
    std::vector<LoadAccount> accounts;
    double streamingShare = 1;
    double sessionShare = 0;
    int sessionCount = 0;
    double longShare = 0;
    double longFactor = 1;
    int minTokens = 8;
    int maxTokens = 31;
    std::vector<std::string> prompts;
    /// 0 sends no deadline.
    Duration deadline = {};
    std::vector<LoadVariant> variants;
    /// Variant that the others are compared with; empty for no comparison.
    std::string baseline;
    std::vector<ScheduledFault> faults;
    /// Sources of the check at the end; without engines there is no check.
    std::vector<HttpAddress> engines;
    HttpAddress store;
    /// Time between the last response and the check, for the ledger's flush.
    Duration settle = std::chrono::seconds(7);

    auto operator<=>(const Experiment &) const = default;
};

/// Reads an experiment file; `${NAME}` stands for a value of `variables`. Every problem becomes a finding.
Experiment parseExperiment(const std::string &file, std::string text, const std::map<std::string, std::string> &variables, Findings &findings);

} // namespace Godwitfork
