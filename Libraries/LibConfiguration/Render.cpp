#include "LibConfiguration/ConfigurationFiles.h"
#include "LibConfiguration/Units.h"

#include <yaml-cpp/yaml.h>

#include <set>

namespace Godwitfork
{

namespace
{
void emitValue(YAML::Emitter &out, const char *key, const std::string &value)
{
    out << YAML::Key << key << YAML::Value << value;
}

void emitList(YAML::Emitter &out, const char *key, const std::vector<std::string> &values)
{
    out << YAML::Key << key << YAML::Value << YAML::Flow << values;
}

std::string nameOf(VersionState state)
{
    switch (state) {
    case VersionState::Candidate:
        return "candidate";
    case VersionState::Stable:
        return "stable";
    case VersionState::Withdrawn:
        return "withdrawn";
    }
    return {};
}

void emitVersion(YAML::Emitter &out, const ModelVersion &version)
{
    out << YAML::Key << version.name << YAML::Value << YAML::BeginMap;
    emitValue(out, "state", nameOf(version.state));
    emitValue(out, "prompt_price", formatAmount(version.promptPrice, AmountDenominator::ThousandTokens));
    emitValue(out, "completion_price", formatAmount(version.completionPrice, AmountDenominator::ThousandTokens));
    out << YAML::EndMap;
}

void emitModel(YAML::Emitter &out, const Model &model)
{
    out << YAML::Key << model.name << YAML::Value << YAML::BeginMap;
    if (!model.cascade.empty()) {
        emitList(out, "cascade", model.cascade);
    } else {
        out << YAML::Key << "versions" << YAML::Value << YAML::BeginMap;
        for (const ModelVersion &version : model.versions) {
            emitVersion(out, version);
        }
        out << YAML::EndMap;
    }
    out << YAML::EndMap;
}

void emitAllowedModels(YAML::Emitter &out, const std::vector<AllowedModel> &models)
{
    out << YAML::Key << "models" << YAML::Value << YAML::BeginMap;
    for (const AllowedModel &allowed : models) {
        out << YAML::Key << allowed.model << YAML::Value;
        if (allowed.versions.empty()) {
            out << "all";
        } else {
            out << YAML::Flow << allowed.versions;
        }
    }
    out << YAML::EndMap;
}

void emitAccount(YAML::Emitter &out, const ClientAccount &account)
{
    out << YAML::Key << account.name << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "key_hashes" << YAML::Value << account.keyHashes;
    emitAllowedModels(out, account.models);
    emitList(out, "services", account.services);
    emitValue(out, "priority", std::to_string(account.priority));
    emitValue(out, "quality_target", formatNumber(account.qualityTarget));
    emitValue(out, "monthly_budget", formatAmount(account.monthlyBudget, AmountDenominator::Month));
    if (account.requestsPerSecond > 0) {
        emitValue(out, "rate_limit", formatRate(account.requestsPerSecond));
    }
    emitValue(out, "on_withdrawn", account.onWithdrawn == WithdrawalPolicy::Move ? "move" : "refuse");
    out << YAML::EndMap;
}

void emitEndpoint(YAML::Emitter &out, const Endpoint &endpoint)
{
    out << YAML::Key << endpoint.name << YAML::Value << YAML::BeginMap;
    emitValue(out, "address", endpoint.address);
    emitValue(out, "failure_domain", endpoint.failureDomain);
    emitList(out, "serves", endpoint.serves);
    emitValue(out, "state", endpoint.state == EndpointState::Active ? "active" : "draining");
    emitValue(out, "fencing", endpoint.fencing == FencingSupport::Ignored ? "ignored" : "checked");
    out << YAML::EndMap;
}

void emitService(YAML::Emitter &out, const Service &service)
{
    out << YAML::Key << service.name << YAML::Value << YAML::BeginMap;
    emitValue(out, "idempotent", service.idempotency == Idempotency::Idempotent ? "true" : "false");
    emitValue(out, "price", formatAmount(service.price, AmountDenominator::Call));
    out << YAML::EndMap;
}

template<typename T>
void emitMap(YAML::Emitter &out, const char *key, const std::map<std::string, T> &values, void (*emit)(YAML::Emitter &, const T &))
{
    out << YAML::Key << key << YAML::Value << YAML::BeginMap;
    for (const auto &[name, value] : values) {
        emit(out, value);
    }
    out << YAML::EndMap;
}
} // namespace

std::string renderSite(const std::string &siteName, const SiteConfiguration &site)
{
    std::set<std::string> failureDomains;
    for (const auto &[name, endpoint] : site.endpoints) {
        failureDomains.insert(endpoint.failureDomain);
    }
    YAML::Emitter out;
    out << YAML::BeginMap;
    emitList(out, "sites", {siteName});
    emitList(out, "failure_domains", {failureDomains.begin(), failureDomains.end()});
    out << YAML::Key << "operator_key_hashes" << YAML::Value << site.operatorKeyHashes;
    emitMap(out, "models", site.models, emitModel);
    emitMap(out, "services", site.services, emitService);
    emitMap(out, "accounts", site.accounts, emitAccount);
    emitMap(out, "endpoints", site.endpoints, emitEndpoint);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace Godwitfork
