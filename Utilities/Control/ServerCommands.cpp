#include "ServerCommands.h"

#include "ApiClient.h"
#include "FileCommands.h"
#include "InForce.h"
#include "LibCore/Identifier.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iostream>

namespace Godwitfork
{

namespace
{
constexpr int statusOk = 200;
constexpr int tokenBytes = 16;
constexpr std::int64_t microsecondsInSecond = 1'000'000;

std::string tokenOf(const Options &options)
{
    if (!options.token.empty()) {
        return options.token;
    }
    RandomSource random = systemSeededRandomSource();
    return randomHex(random, tokenBytes);
}

int refuseUnreachable()
{
    std::cerr << "no server is reachable\n";
    return exitNotReachable;
}

/// Prints an error answer of the API. An answer of 500 or more means that the server or its store could not do the work.
int reportError(const HttpResponse &answer)
{
    constexpr int firstServerError = 500;
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        const nlohmann::json &error = body.at("error");
        std::cerr << error.value("code", "") << ": " << error.value("message", "") << "\n";
    } else {
        std::cerr << "status " << answer.status << "\n";
    }
    return answer.status >= firstServerError ? exitNotReachable : exitRefused;
}

int sendChange(const Options &options, const ApiClient &client, const std::string &target, const nlohmann::json &body)
{
    // Printed first, so that an operator whose connection breaks can repeat the command without applying it twice.
    std::cerr << "token " << body.at("token").get<std::string>() << "\n";
    const auto answer = client.change(target, body);
    if (!answer) {
        return refuseUnreachable();
    }
    if (answer->status != statusOk) {
        return reportError(*answer);
    }
    return reportInForce(options, client, nlohmann::json::parse(answer->body).at("revision").get<std::uint64_t>());
}

/// Revision that is current before the first try, below which the server need not look for an earlier try of the token.
std::uint64_t currentRevision(const ApiClient &client)
{
    const auto answer = client.read("/v1/status");
    const auto body = answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
    const bool isKnown = body.is_object() && body.contains("stored_revision") && body.at("stored_revision").is_number();
    return isKnown ? body.at("stored_revision").get<std::uint64_t>() : 0;
}

nlohmann::json changeBody(const Options &options, const ApiClient &client)
{
    nlohmann::json body = {{"token", tokenOf(options)}};
    // A token that was given belongs to an earlier command, whose first revision is not known here.
    body["since"] = options.token.empty() ? currentRevision(client) : 0;
    if (!options.site.empty()) {
        body["site"] = options.site;
    }
    if (!options.comment.empty()) {
        body["comment"] = options.comment;
    }
    return body;
}

void printChanges(const Configuration &before, const Configuration &after)
{
    const std::vector<ConfigurationDifference> changes = diff(before, after);
    std::cerr << (changes.empty() ? "no differences\n" : toText(changes));
}

/// Reads a report and prints it as JSON or with `print`. Returns the exit code.
int printReport(const Options &options, const std::string &target, void (*print)(const nlohmann::json &body))
{
    const ApiClient client(options);
    const auto answer = client.read(target);
    if (!answer) {
        return refuseUnreachable();
    }
    if (answer->status != statusOk) {
        return reportError(*answer);
    }
    const auto body = nlohmann::json::parse(answer->body);
    if (options.output == OutputForm::Json) {
        std::cout << body.dump(2) << "\n";
    } else {
        print(body);
    }
    return exitOk;
}

/// Amount in units of the currency with all six decimals.
std::string units(const nlohmann::json &amount)
{
    constexpr Microunits microunitsInUnit = 1'000'000;
    const auto value = amount.get<Microunits>();
    std::string decimals = std::to_string(value % microunitsInUnit);
    constexpr std::size_t decimalDigits = 6;
    decimals.insert(0, decimalDigits - decimals.size(), '0');
    return std::to_string(value / microunitsInUnit) + "." + decimals;
}

std::string timeText(std::int64_t microseconds)
{
    const std::time_t seconds = microseconds / microsecondsInSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}
} // namespace

int runApply(const Options &options)
{
    const auto files = checkFolder(options.arguments.at(0));
    if (!files) {
        return reportFindings(files.error(), options.output);
    }
    const ApiClient client(options);
    const auto current = client.read("/v1/configuration");
    if (!current) {
        return refuseUnreachable();
    }
    if (current->status != statusOk) {
        return reportError(*current);
    }
    const auto stored = nlohmann::json::parse(current->body);
    const auto revision = stored.at("revision").get<std::uint64_t>();
    if (options.basedOn.empty()) {
        std::cerr << "apply needs --based-on REVISION or --based-on current; the current revision is " << revision << "\n";
        return exitUsage;
    }
    const auto before = configurationFromJson(stored.at("configuration").dump());
    if (before) {
        printChanges(before.value(), files.value());
    }
    nlohmann::json body = {{"token", tokenOf(options)}, {"comment", options.comment}, {"reinstate", options.mayReinstate}};
    body["based_on"] = options.basedOn == "current" ? revision : std::stoull(options.basedOn);
    body["configuration"] = nlohmann::json::parse(toJson(files.value()));
    return sendChange(options, client, "/v1/configuration", body);
}

int runHistory(const Options &options)
{
    const ApiClient client(options);
    const auto answer = client.read("/v1/configuration/history?limit=" + std::to_string(options.limit));
    if (!answer) {
        return refuseUnreachable();
    }
    if (answer->status != statusOk) {
        return reportError(*answer);
    }
    const auto body = nlohmann::json::parse(answer->body);
    if (options.output == OutputForm::Json) {
        std::cout << body.dump(2) << "\n";
        return exitOk;
    }
    for (const nlohmann::json &revision : body.at("revisions")) {
        std::cout << revision.at("revision").dump() << " replaced " << revision.at("based_on").dump() << " at "
                  << timeText(revision.at("applied_at").get<std::int64_t>()) << " by " << revision.at("operator").get<std::string>() << " "
                  << revision.at("comment").get<std::string>() << "\n";
    }
    return exitOk;
}

int runSpend(const Options &options)
{
    return printReport(options, "/v1/spend", [](const nlohmann::json &body) {
        for (const nlohmann::json &account : body.at("accounts")) {
            const nlohmann::json &forecast = account.at("forecast");
            std::cout << account.at("account").get<std::string>() << ": spent " << units(account.at("spent")) << " of " << units(account.at("monthly_budget"))
                      << ", forecast " << units(forecast.at("expected")) << " (" << units(forecast.at("low")) << " to " << units(forecast.at("high")) << ")\n";
        }
    });
}

int runBill(const Options &options)
{
    return printReport(options, "/v1/bill?month=" + percentEncode(options.arguments.at(0)), [](const nlohmann::json &body) {
        for (const nlohmann::json &bill : body.at("bills")) {
            std::cout << bill.at("account").get<std::string>() << ": " << bill.at("requests").dump() << " requests, " << units(bill.at("amount"))
                      << ", house cost " << units(bill.at("house_cost")) << "\n";
        }
    });
}

int runStatus(const Options &options)
{
    const ApiClient client(options);
    const nlohmann::json status = mergedStatus(options, client);
    if (options.output == OutputForm::Json) {
        std::cout << status.dump(2) << "\n";
    } else {
        printStatusText(status);
    }
    return status.at("not_answering").size() == options.servers.size() ? exitNotReachable : exitOk;
}

int runSetState(const Options &options)
{
    const std::string &name = options.arguments.at(0);
    const std::size_t colon = name.find(':');
    if (colon == std::string::npos) {
        std::cerr << "a version is written MODEL:VERSION\n";
        return exitUsage;
    }
    const ApiClient client(options);
    nlohmann::json body = changeBody(options, client);
    body["model"] = name.substr(0, colon);
    body["version"] = name.substr(colon + 1);
    body["state"] = options.command == "withdraw" ? "withdrawn" : options.arguments.at(1);
    body["reinstate"] = options.mayReinstate;
    body["allow_no_stable_version"] = options.mayLeaveNoStableVersion;
    return sendChange(options, client, "/v1/versions", body);
}

int runDrain(const Options &options)
{
    const ApiClient client(options);
    nlohmann::json body = changeBody(options, client);
    body["endpoint"] = options.arguments.at(0);
    body["state"] = options.command == "drain" ? "draining" : "active";
    return sendChange(options, client, "/v1/endpoints", body);
}

} // namespace Godwitfork
