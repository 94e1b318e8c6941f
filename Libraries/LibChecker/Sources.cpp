#include "LibChecker/Sources.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

LedgerRecord readRecord(const Json &json)
{
    LedgerRecord record;
    json.at("request_id").get_to(record.requestId);
    json.at("account").get_to(record.account);
    json.at("outcome").get_to(record.outcome);
    json.at("amount").get_to(record.amount);
    for (const Json &step : json.at("steps")) {
        const std::string model = step.at("model").get<std::string>() + ":" + step.at("version").get<std::string>();
        record.steps.push_back({model, step.at("prompt_tokens").get<std::int64_t>(), step.at("completion_tokens").get<std::int64_t>()});
    }
    return record;
}
} // namespace

ErrorOr<std::vector<EngineExecution>> parseExecutions(std::string_view body)
{
    try {
        const Json json = Json::parse(body);
        std::vector<EngineExecution> executions;
        for (const Json &entry : json.at("executions")) {
            EngineExecution execution;
            json.at("engine").get_to(execution.engine);
            entry.at("request_id").get_to(execution.requestId);
            entry.at("model").get_to(execution.model);
            entry.at("prompt_tokens").get_to(execution.promptTokens);
            entry.at("completion_tokens").get_to(execution.completionTokens);
            execution.finished = entry.at("state") == "finished";
            executions.push_back(std::move(execution));
        }
        return executions;
    } catch (const Json::exception &error) {
        return Error {"malformed_executions", error.what()};
    }
}

ErrorOr<LedgerPage> parseLedgerPage(std::string_view body)
{
    try {
        const Json json = Json::parse(body);
        LedgerPage page;
        json.at("next").get_to(page.next);
        for (const Json &object : json.at("objects")) {
            for (const Json &record : object.at("value").at("records")) {
                page.records.push_back(readRecord(record));
            }
        }
        return page;
    } catch (const Json::exception &error) {
        return Error {"malformed_ledger", error.what()};
    }
}

} // namespace Godwitfork
