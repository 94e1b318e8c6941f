#include "InForce.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace Godwitfork
{

namespace
{
constexpr int statusOk = 200;
constexpr Duration pollInterval = std::chrono::milliseconds(100);

void mergeInstance(nlohmann::json &instances, const nlohmann::json &instance)
{
    const std::string incarnation = instance.at("incarnation").get<std::string>();
    const bool isNewer = !instances.contains(incarnation) || instances.at(incarnation).at("revision") < instance.at("revision");
    if (isNewer) {
        instances[incarnation] = instance;
    }
}

bool isInForceEverywhere(const nlohmann::json &status, std::uint64_t revision)
{
    if (!status.at("not_answering").empty() || status.at("instances").empty()) {
        return false;
    }
    for (const nlohmann::json &instance : status.at("instances")) {
        if (instance.at("revision").get<std::uint64_t>() < revision) {
            return false;
        }
    }
    return true;
}
} // namespace

nlohmann::json fetchMergedStatus(const Options &options, const ApiClient &client)
{
    nlohmann::json stored;
    nlohmann::json instances = nlohmann::json::object();
    nlohmann::json notAnswering = nlohmann::json::array();
    for (const HttpAddress &server : options.servers) {
        const auto response = client.call(server, makeRequest("GET", "/v1/status"));
        const auto body = response && response->status == statusOk ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
        if (!body.is_object()) {
            const std::string reason = response ? " (status " + std::to_string(response->status) + ")" : "";
            notAnswering.push_back(toText(server) + reason);
            continue;
        }
        const nlohmann::json &revision = body.at("stored_revision");
        if (revision.is_number() && (stored.is_null() || stored < revision)) {
            stored = revision;
        }
        for (const nlohmann::json &instance : body.at("instances")) {
            mergeInstance(instances, instance);
        }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[incarnation, instance] : instances.items()) {
        list.push_back(instance);
    }
    return {{"stored_revision", stored}, {"instances", list}, {"not_answering", notAnswering}};
}

int waitUntilInForce(const Options &options, const ApiClient &client, std::uint64_t revision)
{
    const auto deadline = std::chrono::steady_clock::now() + options.wait;
    nlohmann::json status = fetchMergedStatus(options, client);
    bool isInForce = isInForceEverywhere(status, revision);
    while (!isInForce && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        status = fetchMergedStatus(options, client);
        isInForce = isInForceEverywhere(status, revision);
    }
    if (options.output == OutputFormat::Json) {
        status["revision"] = revision;
        status["in_force"] = isInForce;
        std::cout << status.dump(2) << "\n";
    } else {
        std::cout << "stored as revision " << revision << "\n";
        printStatusText(status);
        std::cout << (isInForce ? "in force on all instances that the given servers report\n"
                                : "not every instance has confirmed yet that the revision is in force\n");
    }
    // The change is stored in any case, so the command fails only if the operator asked to wait and the wait timed out.
    return isInForce || options.wait.count() == 0 ? exitOk : exitRefused;
}

void printStatusText(const nlohmann::json &status)
{
    const nlohmann::json &stored = status.at("stored_revision");
    std::cout << "stored revision: " << (stored.is_null() ? "unknown, no server reported it" : stored.dump()) << "\n";
    for (const nlohmann::json &instance : status.at("instances")) {
        std::cout << instance.at("incarnation").get<std::string>() << " site " << instance.at("site").get<std::string>() << " domain "
                  << instance.at("failure_domain").get<std::string>() << ": revision " << instance.at("revision").dump()
                  << (instance.at("ready").get<bool>() ? ", ready" : ", not ready") << "\n";
    }
    for (const nlohmann::json &server : status.at("not_answering")) {
        std::cout << server.get<std::string>() << ": no usable response\n";
    }
}

} // namespace Godwitfork
