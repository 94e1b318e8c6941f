#include "ChatAnswer.h"

#include "LibHttp/ServerSentEvents.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json envelope(const AnswerFacts &facts, const char *object)
{
    return {{"id", "chatcmpl-" + facts.requestId},
            {"object", object},
            {"created", std::chrono::duration_cast<std::chrono::seconds>(facts.created.time_since_epoch()).count()},
            {"model", facts.requestedModel}};
}

Json usage(const AnswerFacts &facts)
{
    return {
        {"prompt_tokens", facts.promptTokens}, {"completion_tokens", facts.completionTokens}, {"total_tokens", facts.promptTokens + facts.completionTokens}};
}

Json provenance(const AnswerFacts &facts)
{
    return {{"request_id", facts.requestId},
            {"model", facts.model},
            {"version", facts.version},
            {"cascade_steps", facts.cascadeSteps},
            {"cost_microunits", facts.cost}};
}

Json choice(const char *key, Json content, Json finishReason)
{
    Json entry {{"index", 0}, {"finish_reason", std::move(finishReason)}};
    entry[key] = std::move(content);
    return Json::array({std::move(entry)});
}
} // namespace

HttpHeaders leadingHeaders(const AnswerFacts &facts)
{
    HttpHeaders headers {{"X-Request-Id", facts.requestId},
                         {"Godwitfork-Model", facts.model},
                         {"Godwitfork-Version", facts.version},
                         {"Godwitfork-Cascade-Steps", std::to_string(facts.cascadeSteps)}};
    if (!facts.session.empty()) {
        headers.push_back({"Godwitfork-Session", facts.session});
    }
    if (!facts.sessionMovedFrom.empty()) {
        headers.push_back({"Godwitfork-Session-Moved", facts.sessionMovedFrom});
    }
    return headers;
}

HttpResponse wholeAnswer(const AnswerFacts &facts, const std::string &text)
{
    Json body = envelope(facts, "chat.completion");
    body["choices"] = choice("message", {{"role", "assistant"}, {"content", text}}, "stop");
    body["usage"] = usage(facts);
    body["godwitfork"] = provenance(facts);
    HttpResponse response = jsonResponse(200, dump(body));
    for (HttpHeader &header : leadingHeaders(facts)) {
        response.headers.push_back(std::move(header));
    }
    response.headers.push_back({"Godwitfork-Prompt-Tokens", std::to_string(facts.promptTokens)});
    response.headers.push_back({"Godwitfork-Completion-Tokens", std::to_string(facts.completionTokens)});
    response.headers.push_back({"Godwitfork-Cost-Microunits", std::to_string(facts.cost)});
    return response;
}

std::string deltaEvent(const AnswerFacts &facts, const std::string &text)
{
    Json chunk = envelope(facts, "chat.completion.chunk");
    chunk["choices"] = choice("delta", {{"role", "assistant"}, {"content", text}}, nullptr);
    return formatServerSentEvent(dump(chunk));
}

std::string endEvents(const AnswerFacts &facts)
{
    Json chunk = envelope(facts, "chat.completion.chunk");
    chunk["choices"] = choice("delta", Json::object(), "stop");
    chunk["usage"] = usage(facts);
    chunk["godwitfork"] = provenance(facts);
    return formatServerSentEvent(dump(chunk)) + formatServerSentEvent("[DONE]");
}

} // namespace Godwitfork
