#include "Experiment.h"

#include "YamlReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr double maxSeconds = 86'400;
constexpr double maxRate = 100'000;
constexpr int maxTokenCount = 100'000;

std::string replaceVariables(const std::string &file, const std::string &text, const std::map<std::string, std::string> &variables, Findings &findings)
{
    std::string result;
    std::size_t position = 0;
    int line = 1;
    while (true) {
        const std::size_t start = text.find("${", position);
        const std::string_view plain = std::string_view(text).substr(position, start == std::string::npos ? start : start - position);
        result += plain;
        line += static_cast<int>(std::count(plain.begin(), plain.end(), '\n'));
        if (start == std::string::npos) {
            return result;
        }
        const std::size_t end = text.find('}', start);
        const std::string name = text.substr(start + 2, end == std::string::npos ? end : end - start - 2);
        const auto found = variables.find(name);
        if (found == variables.end()) {
            findings.add({file, line, 0, "", "variable '" + name + "' has no value"});
        } else {
            result += found->second;
        }
        if (end == std::string::npos) {
            return result;
        }
        position = end + 1;
    }
}

void readArrivals(YamlReader reader, Experiment &experiment)
{
    if (!reader.has("requests_per_second")) {
        reader.addFinding("requests_per_second", "missing key");
    }
    experiment.requestsPerSecond = reader.number("requests_per_second", 1, 0.001, maxRate);
    for (YamlReader &entry : reader.maps("swings")) {
        Swing swing;
        swing.at = entry.seconds("at_s", 0, maxSeconds);
        swing.ramp = entry.seconds("ramp_s", 0, maxSeconds);
        swing.factor = entry.number("factor", 1, 0, 1000);
        swing.until = entry.seconds("until_s", maxSeconds, maxSeconds);
        if (swing.until < swing.at + swing.ramp) {
            entry.addFinding("until_s", "must be at least at_s + ramp_s");
        }
        entry.finish();
        experiment.swings.push_back(swing);
    }
    reader.finish();
}

void readAccounts(YamlReader &reader, Experiment &experiment)
{
    for (YamlReader &entry : reader.maps("accounts")) {
        LoadAccount account;
        account.name = entry.text("name", nullptr);
        account.key = entry.text("key", nullptr);
        account.model = entry.text("model", nullptr);
        account.share = entry.number("share", 1, 0.000001, 1e6);
        entry.finish();
        experiment.accounts.push_back(account);
    }
    if (experiment.accounts.empty()) {
        reader.addFinding("accounts", "at least one account is needed");
    }
}

void readWork(YamlReader &reader, Experiment &experiment)
{
    experiment.streamingShare = reader.number("streaming_share", 1, 0, 1);
    YamlReader sessions = reader.map("sessions");
    experiment.sessionShare = sessions.number("share", 0, 0, 1);
    experiment.sessionCount = sessions.integer("count", 0, 0, 1'000'000);
    if (experiment.sessionShare > 0 && experiment.sessionCount == 0) {
        sessions.addFinding("count", "must be at least 1 if a share of the requests has a session");
    }
    sessions.finish();
    YamlReader longJobs = reader.map("long_jobs");
    experiment.longShare = longJobs.number("share", 0, 0, 1);
    experiment.longFactor = longJobs.number("factor", 1, 1, 1000);
    longJobs.finish();
    YamlReader tokens = reader.map("tokens");
    experiment.minTokens = tokens.integer("min", 8, 2, maxTokenCount);
    experiment.maxTokens = tokens.integer("max", 31, 2, maxTokenCount);
    if (experiment.maxTokens < experiment.minTokens) {
        tokens.addFinding("max", "must be at least min");
    }
    tokens.finish();
    experiment.prompts = reader.texts("prompts");
    if (reader.has("prompts") && experiment.prompts.empty()) {
        reader.addFinding("prompts", "at least one prompt is needed");
    }
    experiment.deadline = std::chrono::milliseconds(reader.integer("deadline_ms", 0, 0, 600'000));
}

void readVariants(YamlReader &reader, Experiment &experiment)
{
    for (YamlReader &entry : reader.maps("variants")) {
        LoadVariant variant;
        variant.name = entry.text("name", nullptr);
        if (entry.has("engine")) {
            variant.kind = TargetKind::Engine;
            variant.targets = {entry.address("engine")};
            variant.engineModel = entry.text("engine_model", nullptr);
        } else {
            variant.targets = entry.addresses("routers");
            if (entry.has("routers") && variant.targets.empty()) {
                entry.addFinding("routers", "at least one address is needed");
            }
        }
        entry.finish();
        experiment.variants.push_back(variant);
    }
    if (experiment.variants.empty()) {
        reader.addFinding("variants", "at least one variant is needed");
    }
}

/// JSON text of a flat YAML map. The proxy checks keys and values.
std::string toJsonText(YamlReader &reader, const std::string &key)
{
    nlohmann::ordered_json json = nlohmann::ordered_json::object();
    const YAML::Node node = reader.raw(key);
    if (!node.IsMap()) {
        reader.addFinding(key, "must be a map");
        return "{}";
    }
    for (const auto &entry : node) {
        // A YAML scalar such as 5, true or 2.5 is JSON as well; anything else is a text.
        const std::string text = entry.second.IsScalar() ? entry.second.Scalar() : "";
        const auto value = nlohmann::ordered_json::parse(text, nullptr, false);
        json[entry.first.Scalar()] = value.is_discarded() ? nlohmann::ordered_json(text) : value;
    }
    return json.dump();
}

void readFaults(YamlReader &reader, Experiment &experiment)
{
    for (YamlReader &entry : reader.maps("faults")) {
        ScheduledFault fault;
        fault.at = entry.seconds("at_s", 0, maxSeconds);
        fault.control = entry.address("control");
        fault.route = entry.text("route", nullptr);
        const bool freezes = entry.text("action", "set") == "freeze";
        if (!freezes) {
            fault.faults = toJsonText(entry, "set");
        }
        if (entry.text("action", "set") != "set" && !freezes) {
            entry.addFinding("action", "must be 'set' or 'freeze'");
        }
        entry.finish();
        experiment.faults.push_back(fault);
    }
    const auto isEarlier = [](const ScheduledFault &left, const ScheduledFault &right) { return left.at < right.at; };
    std::stable_sort(experiment.faults.begin(), experiment.faults.end(), isEarlier);
}

void readCheck(YamlReader &reader, Experiment &experiment)
{
    if (!reader.has("check")) {
        return;
    }
    YamlReader check = reader.map("check");
    experiment.engines = check.addresses("engines");
    if (check.has("store")) {
        experiment.store = check.address("store");
    }
    experiment.settle = check.seconds("settle_s", 7, 600);
    check.finish();
}
} // namespace

Experiment parseExperiment(const std::string &file, std::string text, const std::map<std::string, std::string> &variables, Findings &findings)
{
    Experiment experiment;
    YAML::Node root;
    text = replaceVariables(file, text, variables, findings);
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        findings.add({file, error.mark.line + 1, error.mark.column + 1, "", error.msg});
        return experiment;
    }
    YamlReader reader(file, root, "", findings);
    experiment.name = reader.text("name", nullptr);
    experiment.seed = static_cast<std::uint64_t>(reader.integer("seed", 1, 0, 2'000'000'000));
    experiment.repetitions = reader.integer("repetitions", 1, 1, 10'000);
    if (!reader.has("duration_s")) {
        reader.addFinding("duration_s", "missing key");
    }
    experiment.duration = reader.seconds("duration_s", 1, maxSeconds);
    experiment.warmup = reader.seconds("warmup_s", 0, maxSeconds);
    readArrivals(reader.map("arrivals"), experiment);
    readAccounts(reader, experiment);
    readWork(reader, experiment);
    readVariants(reader, experiment);
    experiment.baseline = reader.text("baseline", "");
    const auto hasBaselineName = [&experiment](const LoadVariant &variant) { return variant.name == experiment.baseline; };
    if (!experiment.baseline.empty() && std::none_of(experiment.variants.begin(), experiment.variants.end(), hasBaselineName)) {
        reader.addFinding("baseline", "must be the name of a variant");
    }
    readFaults(reader, experiment);
    readCheck(reader, experiment);
    reader.finish();
    return experiment;
}

} // namespace Godwitfork
