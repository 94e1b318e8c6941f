#include "DemoRun.h"

#include "LibChecker/Sources.h"
#include "LibHttp/ServerSentEvents.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
using Json = nlohmann::json;

HttpRequest toHttpRequest(const DemoRequest &request)
{
    HttpHeaders headers {{"Authorization", "Bearer " + request.key}, {"Content-Type", "application/json"}};
    if (!request.session.empty()) {
        headers.push_back({"Godwitfork-Session", request.session});
    }
    if (request.call == DemoCall::Order) {
        headers.push_back({"Idempotency-Key", request.idempotencyKey});
        return makeRequest("POST", "/v1/services/" + request.target + "/orders", request.text, std::move(headers));
    }
    const Json body {
        {"model", request.target}, {"stream", request.call == DemoCall::StreamedAnswer}, {"messages", {{{"role", "user"}, {"content", request.text}}}}};
    return makeRequest("POST", "/v1/chat/completions", body.dump(), std::move(headers));
}

/// Copies token counts, version and cost of a complete answer or of a stream's last chunk into the result.
void readUsage(const Json &body, DemoResult &result)
{
    if (!body.contains("usage") || !body.contains("godwitfork")) {
        return;
    }
    result.promptTokens = body["usage"].value("prompt_tokens", std::int64_t {0});
    result.completionTokens = body["usage"].value("completion_tokens", std::int64_t {0});
    result.model = body["godwitfork"].value("model", "");
    result.version = body["godwitfork"].value("version", "");
    result.cost = body["godwitfork"].value("cost_microunits", Microunits {0});
}

void readWholeAnswer(const std::string &text, DemoResult &result)
{
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("choices")) {
        return;
    }
    result.answer = body["choices"][0]["message"].value("content", "");
    readUsage(body, result);
}

void readStreamedAnswer(const std::string &text, DemoResult &result)
{
    ServerSentEventParser parser;
    const auto events = parser.feed(text);
    if (!events) {
        return;
    }
    for (const ServerSentEvent &event : events.value()) {
        const Json chunk = Json::parse(event.data, nullptr, false);
        if (!chunk.is_object() || !chunk.contains("choices")) {
            continue;
        }
        result.answer += chunk["choices"][0]["delta"].value("content", "");
        readUsage(chunk, result);
    }
}

DemoResult readResponse(const DemoRequest &request, const HttpResponse &response)
{
    DemoResult result;
    result.request = request;
    result.status = response.status;
    result.requestId = headerValue(response.headers, "X-Request-Id");
    if (response.status != 200) {
        const Json body = Json::parse(response.body, nullptr, false);
        result.ran = body.is_object() && body.contains("error") ? body["error"].value("ran", "") : "";
    } else if (request.call == DemoCall::Order) {
        result.answer = response.body;
    } else if (request.call == DemoCall::WholeAnswer) {
        readWholeAnswer(response.body, result);
    } else {
        readStreamedAnswer(response.body, result);
    }
    return result;
}

/// Body of a successful response. Fails with `not_reachable` or `unexpected_status`.
ErrorOr<std::string> successfulBody(const HttpOutcome<HttpResponse> &response)
{
    if (!response) {
        return Error {"not_reachable", response.error().message};
    }
    if (response.value().status != 200) {
        return Error {"unexpected_status", std::to_string(response.value().status)};
    }
    return response.value().body;
}
} // namespace

Asio::awaitable<std::vector<DemoResult>> sendAll(HttpClient &client, const DemoTargets &targets, std::vector<DemoRequest> requests)
{
    std::vector<DemoResult> results;
    for (const DemoRequest &request : requests) {
        const HttpAddress router = targets.routers[results.size() % targets.routers.size()];
        const MonotonicTime sendTime = monotonicNow();
        HttpCallOptions options;
        options.responseTimeout = std::chrono::seconds(60);
        const auto response = co_await client.call(router, toHttpRequest(request), options);
        DemoResult result;
        result.request = request;
        if (response) {
            result = readResponse(request, response.value());
        }
        result.latency = monotonicNow() - sendTime;
        results.push_back(std::move(result));
    }
    co_return results;
}

Asio::awaitable<ErrorOr<StandInRecords>> readStandInRecords(HttpClient &client, const DemoTargets &targets)
{
    StandInRecords standInRecords;
    for (const HttpAddress &engine : targets.engines) {
        const auto response = co_await client.call(engine, makeRequest("GET", "/executions"), HttpCallOptions());
        CO_TRY(body, successfulBody(response));
        CO_TRY(executions, parseExecutions(body));
        standInRecords.executions.insert(standInRecords.executions.end(), executions.begin(), executions.end());
    }
    std::string after;
    do {
        const std::string target = "/v1/list?prefix=ledger%2F&after=" + percentEncode(after);
        const auto response = co_await client.call(targets.store, makeRequest("GET", target), HttpCallOptions());
        CO_TRY(body, successfulBody(response));
        CO_TRY(page, parseLedgerPage(body));
        standInRecords.ledger.insert(standInRecords.ledger.end(), page.records.begin(), page.records.end());
        after = page.next;
    } while (!after.empty());
    const auto response = co_await client.call(targets.service, makeRequest("GET", "/executions"), HttpCallOptions());
    CO_TRY(serviceBody, successfulBody(response));
    const Json service = Json::parse(serviceBody, nullptr, false);
    for (const Json &call : service.value("executions", Json::array())) {
        standInRecords.executedOrders.push_back(call.value("idempotency_key", ""));
    }
    co_return standInRecords;
}

} // namespace Godwitfork
