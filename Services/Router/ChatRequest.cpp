#include "ChatRequest.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

Outcome<void, ApiError> checkMessages(const Json &body)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return apiError("invalid_request", "'messages' must be a list with at least one message", Ran::No, "messages");
    }
    for (const Json &message : body["messages"]) {
        const bool valid = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content")
            && (message["content"].is_string() || message["content"].is_array());
        if (!valid) {
            return apiError("invalid_request", "each message needs a 'role' and a 'content'", Ran::No, "messages");
        }
    }
    return boost::outcome_v2::success();
}

Outcome<void, ApiError> checkNumbers(const Json &body)
{
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        if (body.contains(key) && !body[key].is_null() && (!body[key].is_number_integer() || body[key].get<long long>() < 1)) {
            return apiError("invalid_request", std::string("'") + key + "' must be a whole number of at least 1", Ran::No, key);
        }
    }
    // FIXME: Several choices in one answer are refused, because billing and escalation handle one.
    if (body.contains("n") && body["n"] != 1) {
        return apiError("invalid_request", "'n' must be 1", Ran::No, "n");
    }
    if (body.contains("stream") && !body["stream"].is_null() && !body["stream"].is_boolean()) {
        return apiError("invalid_request", "'stream' must be true or false", Ran::No, "stream");
    }
    return boost::outcome_v2::success();
}
} // namespace

Outcome<ChatRequest, ApiError> parseChatRequest(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded()) {
        return apiError("invalid_json", "the body is not valid JSON");
    }
    if (!json.is_object()) {
        return apiError("invalid_request", "the body must be a JSON object");
    }
    if (!json.contains("model") || !json["model"].is_string() || json["model"].get<std::string>().empty()) {
        return apiError("invalid_request", "'model' must name a model", Ran::No, "model");
    }
    TRY(checkMessages(json));
    TRY(checkNumbers(json));

    ChatRequest request;
    const auto name = json["model"].get<std::string>();
    const std::size_t colon = name.find(':');
    request.model = name.substr(0, colon);
    request.version = colon == std::string::npos ? "" : name.substr(colon + 1);
    request.form = json.contains("stream") && json["stream"] == true ? AnswerForm::Streamed : AnswerForm::Whole;
    request.body = body;
    return request;
}

std::string engineBody(const ChatRequest &request, const std::string &modelAndVersion)
{
    Json json = Json::parse(request.body);
    json["model"] = modelAndVersion;
    json["stream"] = true;
    json.erase("stream_options");
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Godwitfork
