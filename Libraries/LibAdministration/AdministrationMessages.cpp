#include "LibAdministration/AdministrationMessages.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Godwitfork
{

namespace
{
/// 16 hexadecimal characters hold 64 random bits, enough that tokens do not collide by accident.
constexpr std::size_t minTokenLength = 16;
constexpr std::size_t maxTokenLength = 128;

Error invalid(const std::string &message)
{
    return {"invalid_request", message};
}

ErrorOr<nlohmann::json> parseObject(const std::string &body, const std::set<std::string> &members)
{
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return invalid("the body is not a JSON object");
    }
    for (const auto &[member, value] : json.items()) {
        if (!members.contains(member)) {
            return invalid("unknown member '" + member + "'");
        }
    }
    return json;
}

ErrorOr<std::string> optionalText(const nlohmann::json &json, const char *member)
{
    if (!json.contains(member)) {
        return std::string();
    }
    if (!json.at(member).is_string()) {
        return invalid("'" + std::string(member) + "' is not text");
    }
    return json.at(member).get<std::string>();
}

ErrorOr<std::string> requiredText(const nlohmann::json &json, const char *member)
{
    if (!json.contains(member)) {
        return invalid("missing member '" + std::string(member) + "'");
    }
    return optionalText(json, member);
}

ErrorOr<bool> readFlag(const nlohmann::json &json, const char *member)
{
    const nlohmann::json value = json.value(member, nlohmann::json(false));
    if (!value.is_boolean()) {
        return invalid("'" + std::string(member) + "' is not true or false");
    }
    return value.get<bool>();
}

ErrorOr<ObjectVersion> readRevision(const nlohmann::json &json, const char *member)
{
    const nlohmann::json value = json.value(member, nlohmann::json(0U));
    if (!value.is_number_unsigned()) {
        return invalid("'" + std::string(member) + "' is not a revision number");
    }
    return value.get<ObjectVersion>();
}

ErrorOr<std::string> readToken(const nlohmann::json &json)
{
    std::string token = TRY(requiredText(json, "token"));
    if (token.size() < minTokenLength || token.size() > maxTokenLength) {
        return invalid("'token' must have 16 to 128 characters");
    }
    return token;
}

ErrorOr<VersionState> readVersionState(const nlohmann::json &json)
{
    const std::string name = TRY(requiredText(json, "state"));
    if (name == "candidate") {
        return VersionState::Candidate;
    }
    if (name == "stable") {
        return VersionState::Stable;
    }
    if (name == "withdrawn") {
        return VersionState::Withdrawn;
    }
    return invalid("'state' must be candidate, stable or withdrawn");
}

ErrorOr<EndpointState> readEndpointState(const nlohmann::json &json)
{
    const std::string name = TRY(requiredText(json, "state"));
    if (name == "active") {
        return EndpointState::Active;
    }
    if (name == "draining") {
        return EndpointState::Draining;
    }
    return invalid("'state' must be active or draining");
}

template<typename T>
ErrorOr<ChangeRequest<T>> readChangeRequest(const nlohmann::json &json)
{
    ChangeRequest<T> request;
    request.token = TRY(readToken(json));
    request.since = TRY(readRevision(json, "since"));
    request.comment = TRY(optionalText(json, "comment"));
    request.change.site = TRY(optionalText(json, "site"));
    return request;
}
} // namespace

ErrorOr<ApplyRequest> parseApplyRequest(const std::string &body)
{
    const nlohmann::json json = TRY(parseObject(body, {"token", "based_on", "comment", "reinstate", "configuration"}));
    ApplyRequest request;
    request.token = TRY(readToken(json));
    // The member has no default: a request that does not name the revision it replaces could overwrite another operator's
    // change.
    if (!json.contains("based_on")) {
        return invalid("missing member 'based_on'");
    }
    request.basedOn = TRY(readRevision(json, "based_on"));
    request.comment = TRY(optionalText(json, "comment"));
    request.mayReinstate = TRY(readFlag(json, "reinstate"));
    if (!json.contains("configuration") || !json.at("configuration").is_object()) {
        return invalid("'configuration' is not a JSON object");
    }
    request.configuration = TRY(configurationFromJson(json.at("configuration").dump()));
    return request;
}

ErrorOr<ChangeRequest<VersionStateChange>> parseVersionStateRequest(const std::string &body)
{
    const nlohmann::json json =
        TRY(parseObject(body, {"token", "since", "comment", "site", "model", "version", "state", "reinstate", "allow_no_stable_version"}));
    auto request = TRY(readChangeRequest<VersionStateChange>(json));
    request.change.model = TRY(requiredText(json, "model"));
    request.change.version = TRY(requiredText(json, "version"));
    request.change.state = TRY(readVersionState(json));
    request.change.mayReinstate = TRY(readFlag(json, "reinstate"));
    request.change.mayLeaveNoStableVersion = TRY(readFlag(json, "allow_no_stable_version"));
    return request;
}

ErrorOr<ChangeRequest<EndpointStateChange>> parseEndpointStateRequest(const std::string &body)
{
    const nlohmann::json json = TRY(parseObject(body, {"token", "since", "comment", "site", "endpoint", "state"}));
    auto request = TRY(readChangeRequest<EndpointStateChange>(json));
    request.change.endpoint = TRY(requiredText(json, "endpoint"));
    request.change.state = TRY(readEndpointState(json));
    return request;
}

HttpResponse administrationError(int status, std::string_view code, std::string_view message, std::string_view ran, ObjectVersion currentRevision)
{
    nlohmann::json error = {{"code", code}, {"message", message}, {"ran", ran}};
    if (currentRevision != 0) {
        error["current_revision"] = currentRevision;
    }
    const nlohmann::json body = {{"error", error}};
    return jsonResponse(status, body.dump());
}

HttpResponse applyResponse(const ApplyResult &result)
{
    constexpr int ok = 200;
    constexpr int conflict = 409;
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    switch (result.status) {
    case ApplyStatus::Applied:
    case ApplyStatus::AlreadyApplied:
        return jsonResponse(ok, nlohmann::json {{"revision", result.revision}, {"stored", true}}.dump());
    case ApplyStatus::Conflict:
        return administrationError(conflict, "conflict", result.message, "no", result.revision);
    case ApplyStatus::Refused:
        return administrationError(conflict, "refused", result.message, "no", result.revision);
    case ApplyStatus::Unavailable:
        return administrationError(unavailable, "store_unavailable", result.message);
    case ApplyStatus::Unknown:
        return administrationError(badGateway, "outcome_unknown", result.message + "; repeat the request with the same token", "unknown");
    }
    return {};
}

nlohmann::json summaryJson(const ConfigurationRecord &record)
{
    return {{"revision", record.revision},
            {"based_on", record.metadata.basedOn},
            {"operator", record.metadata.operatorId},
            {"applied_at", record.metadata.appliedAt},
            {"comment", record.metadata.comment}};
}

nlohmann::json recordJson(const ConfigurationRecord &record)
{
    nlohmann::json json = summaryJson(record);
    json["configuration"] = nlohmann::json::parse(toJson(record.configuration));
    return json;
}

nlohmann::json billJson(const Bill &bill)
{
    nlohmann::json json = {{"account", bill.account}, {"requests", bill.requests}, {"amount", bill.amount}, {"house_cost", bill.houseCost}};
    for (std::size_t i = 0; i < bill.requestsByOutcome.size(); ++i) {
        json["outcomes"][std::string(outcomeName(static_cast<RequestOutcome>(i)))] = bill.requestsByOutcome.at(i);
    }
    return json;
}

nlohmann::json spendJson(const AccountSpend &spend)
{
    return {{"account", spend.account},
            {"spent", spend.spent},
            {"monthly_budget", spend.monthlyBudget},
            {"forecast", {{"expected", spend.forecast.expected}, {"low", spend.forecast.low}, {"high", spend.forecast.high}}}};
}

nlohmann::json instancesJson(const std::vector<InstanceState> &instances)
{
    nlohmann::json list = nlohmann::json::array();
    for (const InstanceState &state : instances) {
        list.push_back({{"instance", state.instance},
                        {"incarnation", state.incarnation},
                        {"failure_domain", state.failureDomain},
                        {"site", state.site},
                        {"revision", state.revision},
                        {"ready", state.isReady}});
    }
    return list;
}

} // namespace Godwitfork
