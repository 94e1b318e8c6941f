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

Json envelope(const AnswerMetadata &metadata, const char *object)
{
    return {{"id", "chatcmpl-" + metadata.requestId},
            {"object", object},
            {"created", std::chrono::duration_cast<std::chrono::seconds>(metadata.created.time_since_epoch()).count()},
            {"model", metadata.requestedModel}};
}

Json usage(const AnswerMetadata &metadata)
{
    return {{"prompt_tokens", metadata.promptTokens},
            {"completion_tokens", metadata.completionTokens},
            {"total_tokens", metadata.promptTokens + metadata.completionTokens}};
}

Json extensionFields(const AnswerMetadata &metadata)
{
    return {{"request_id", metadata.requestId},
            {"model", metadata.model},
            {"version", metadata.version},
            {"cascade_steps", metadata.cascadeSteps},
            {"cost_microunits", metadata.cost}};
}

Json choice(const char *key, Json content, Json finishReason)
{
    Json entry {{"index", 0}, {"finish_reason", std::move(finishReason)}};
    entry[key] = std::move(content);
    return Json::array({std::move(entry)});
}
} // namespace

HttpHeaders leadingHeaders(const AnswerMetadata &metadata)
{
    HttpHeaders headers {{"X-Request-Id", metadata.requestId},
                         {"Godwitfork-Model", metadata.model},
                         {"Godwitfork-Version", metadata.version},
                         {"Godwitfork-Cascade-Steps", std::to_string(metadata.cascadeSteps)}};
    if (!metadata.session.empty()) {
        headers.push_back({"Godwitfork-Session", metadata.session});
    }
    if (!metadata.sessionMovedFrom.empty()) {
        headers.push_back({"Godwitfork-Session-Moved", metadata.sessionMovedFrom});
    }
    return headers;
}

HttpResponse bufferedResponse(const AnswerMetadata &metadata, const std::string &text)
{
    Json body = envelope(metadata, "chat.completion");
    body["choices"] = choice("message", {{"role", "assistant"}, {"content", text}}, "stop");
    body["usage"] = usage(metadata);
    body["godwitfork"] = extensionFields(metadata);
    HttpResponse response = jsonResponse(200, dump(body));
    for (HttpHeader &header : leadingHeaders(metadata)) {
        response.headers.push_back(std::move(header));
    }
    response.headers.push_back({"Godwitfork-Prompt-Tokens", std::to_string(metadata.promptTokens)});
    response.headers.push_back({"Godwitfork-Completion-Tokens", std::to_string(metadata.completionTokens)});
    response.headers.push_back({"Godwitfork-Cost-Microunits", std::to_string(metadata.cost)});
    return response;
}

std::string deltaEvent(const AnswerMetadata &metadata, const std::string &text)
{
    Json chunk = envelope(metadata, "chat.completion.chunk");
    chunk["choices"] = choice("delta", {{"role", "assistant"}, {"content", text}}, nullptr);
    return formatServerSentEvent(dump(chunk));
}

std::string endEvents(const AnswerMetadata &metadata)
{
    Json chunk = envelope(metadata, "chat.completion.chunk");
    chunk["choices"] = choice("delta", Json::object(), "stop");
    chunk["usage"] = usage(metadata);
    chunk["godwitfork"] = extensionFields(metadata);
    return formatServerSentEvent(dump(chunk)) + formatServerSentEvent("[DONE]");
}

} // namespace Godwitfork
