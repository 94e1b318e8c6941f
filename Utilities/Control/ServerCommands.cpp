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

std::string tokenFor(const Options &options)
{
    if (!options.token.empty()) {
        return options.token;
    }
    RandomSource random = systemSeededRandomSource();
    return randomHex(random, tokenBytes);
}

int reportUnreachable()
{
    std::cerr << "no server responded\n";
    return exitNotReachable;
}

/// Prints an error response of the API. A status of 500 or more means that the server or its store could not process the request.
int reportError(const HttpResponse &response)
{
    constexpr int firstServerError = 500;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        const nlohmann::json &error = body.at("error");
        std::cerr << error.value("code", "") << ": " << error.value("message", "") << "\n";
    } else {
        std::cerr << "the server responded with status " << response.status << "\n";
    }
    return response.status >= firstServerError ? exitNotReachable : exitRefused;
}

int sendChange(const Options &options, const ApiClient &client, const std::string &target, const nlohmann::json &body)
{
    // The token is printed before the request is sent, so that an operator whose connection breaks can repeat the command without
    // applying the change twice.
    std::cerr << "token " << body.at("token").get<std::string>() << "\n";
    const auto response = client.change(target, body);
    if (!response) {
        return reportUnreachable();
    }
    if (response->status != statusOk) {
        return reportError(*response);
    }
    return waitUntilInForce(options, client, nlohmann::json::parse(response->body).at("revision").get<std::uint64_t>());
}

/// Revision that is stored before the first attempt, or 0 if it is unknown. The server need not search revisions below it for an
/// earlier attempt with the same token.
std::uint64_t currentRevision(const ApiClient &client)
{
    const auto response = client.read("/v1/status");
    const auto body = response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
    const bool isKnown = body.is_object() && body.contains("stored_revision") && body.at("stored_revision").is_number();
    return isKnown ? body.at("stored_revision").get<std::uint64_t>() : 0;
}

nlohmann::json changeBody(const Options &options, const ApiClient &client)
{
    nlohmann::json body = {{"token", tokenFor(options)}};
    // A token from the command line belongs to an earlier run of the command, and the revision stored before that run is unknown.
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

/// Fetches a report and prints it as JSON or, for text output, with `print`. Returns the exit code.
int printReport(const Options &options, const std::string &target, void (*print)(const nlohmann::json &body))
{
    const ApiClient client(options);
    const auto response = client.read(target);
    if (!response) {
        return reportUnreachable();
    }
    if (response->status != statusOk) {
        return reportError(*response);
    }
    const auto body = nlohmann::json::parse(response->body);
    if (options.output == OutputFormat::Json) {
        std::cout << body.dump(2) << "\n";
    } else {
        print(body);
    }
    return exitOk;
}

/// Amount in currency units with all six decimals.
std::string formatAmount(const nlohmann::json &amount)
{
    constexpr Microunits microunitsInUnit = 1'000'000;
    const auto value = amount.get<Microunits>();
    std::string decimals = std::to_string(value % microunitsInUnit);
    constexpr std::size_t decimalDigits = 6;
    decimals.insert(0, decimalDigits - decimals.size(), '0');
    return std::to_string(value / microunitsInUnit) + "." + decimals;
}

/// UTC time in ISO 8601 format, truncated to whole seconds.
std::string formatTime(std::int64_t microseconds)
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
        return reportUnreachable();
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
    nlohmann::json body = {{"token", tokenFor(options)}, {"comment", options.comment}, {"reinstate", options.mayReinstate}};
    body["based_on"] = options.basedOn == "current" ? revision : std::stoull(options.basedOn);
    body["configuration"] = nlohmann::json::parse(toJson(files.value()));
    return sendChange(options, client, "/v1/configuration", body);
}

int runHistory(const Options &options)
{
    const ApiClient client(options);
    const auto response = client.read("/v1/configuration/history?limit=" + std::to_string(options.limit));
    if (!response) {
        return reportUnreachable();
    }
    if (response->status != statusOk) {
        return reportError(*response);
    }
    const auto body = nlohmann::json::parse(response->body);
    if (options.output == OutputFormat::Json) {
        std::cout << body.dump(2) << "\n";
        return exitOk;
    }
    for (const nlohmann::json &revision : body.at("revisions")) {
        std::cout << revision.at("revision").dump() << " replaced " << revision.at("based_on").dump() << " at "
                  << formatTime(revision.at("applied_at").get<std::int64_t>()) << " by " << revision.at("operator").get<std::string>() << " "
                  << revision.at("comment").get<std::string>() << "\n";
    }
    return exitOk;
}

int runSpend(const Options &options)
{
    return printReport(options, "/v1/spend", [](const nlohmann::json &body) {
        for (const nlohmann::json &account : body.at("accounts")) {
            const nlohmann::json &forecast = account.at("forecast");
            std::cout << account.at("account").get<std::string>() << ": spent " << formatAmount(account.at("spent")) << " of "
                      << formatAmount(account.at("monthly_budget")) << ", forecast " << formatAmount(forecast.at("expected")) << " ("
                      << formatAmount(forecast.at("low")) << " to " << formatAmount(forecast.at("high")) << ")\n";
        }
    });
}

int runBill(const Options &options)
{
    return printReport(options, "/v1/bill?month=" + percentEncode(options.arguments.at(0)), [](const nlohmann::json &body) {
        for (const nlohmann::json &bill : body.at("bills")) {
            std::cout << bill.at("account").get<std::string>() << ": " << bill.at("requests").dump() << " requests, " << formatAmount(bill.at("amount"))
                      << ", house cost " << formatAmount(bill.at("house_cost")) << "\n";
        }
    });
}

int runStatus(const Options &options)
{
    const ApiClient client(options);
    const nlohmann::json status = fetchMergedStatus(options, client);
    if (options.output == OutputFormat::Json) {
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
        std::cerr << "the version must have the form MODEL:VERSION\n";
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
