#include "ChatRequest.h"

#include "LibCore/Digest.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

Outcome<void, ApiError> checkMessages(const Json &body)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return apiError("invalid_request", "'messages' must be a non-empty array", RanStatus::No, "messages");
    }
    for (const Json &message : body["messages"]) {
        const bool valid = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content")
            && (message["content"].is_string() || message["content"].is_array());
        if (!valid) {
            return apiError("invalid_request",
                            "each message must be an object with a string 'role' and a 'content' that is a string or an array",
                            RanStatus::No,
                            "messages");
        }
    }
    return boost::outcome_v2::success();
}

/// Shortest prompt prefix used for cache affinity. Engines cache prompts in blocks, so a shorter common prefix saves too
/// little work to justify restricting the choice of the endpoint.
constexpr std::size_t prefixBytes = 1024;
/// Average size of a token, for estimates.
constexpr double bytesPerToken = 4;

void fillEstimates(ChatRequest &request, const Json &body)
{
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        if (body.contains(key) && body[key].is_number()) {
            request.expectedTokens = body[key].get<double>();
        }
    }
    std::string prompt;
    for (const Json &message : body["messages"]) {
        if (prompt.size() < prefixBytes && message["content"].is_string()) {
            prompt += message["content"].get<std::string>();
        }
    }
    if (prompt.size() >= prefixBytes) {
        request.prefixHash = hash64(std::string_view(prompt).substr(0, prefixBytes));
        request.prefixTokens = prefixBytes / bytesPerToken;
    }
}

Outcome<void, ApiError> checkNumbers(const Json &body)
{
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        if (body.contains(key) && !body[key].is_null() && (!body[key].is_number_integer() || body[key].get<long long>() < 1)) {
            return apiError("invalid_request", std::string("'") + key + "' must be an integer of at least 1", RanStatus::No, key);
        }
    }
    // FIXME: Requests for more than one choice are rejected, because billing and cascade escalation handle a single choice.
    if (body.contains("n") && body["n"] != 1) {
        return apiError("invalid_request", "'n' must be 1", RanStatus::No, "n");
    }
    if (body.contains("stream") && !body["stream"].is_null() && !body["stream"].is_boolean()) {
        return apiError("invalid_request", "'stream' must be true or false", RanStatus::No, "stream");
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
        return apiError("invalid_request", "'model' must be a non-empty string", RanStatus::No, "model");
    }
    TRY(checkMessages(json));
    TRY(checkNumbers(json));

    ChatRequest request;
    const auto name = json["model"].get<std::string>();
    const std::size_t colon = name.find(':');
    request.model = name.substr(0, colon);
    request.version = colon == std::string::npos ? "" : name.substr(colon + 1);
    request.mode = json.contains("stream") && json["stream"] == true ? ResponseMode::Streamed : ResponseMode::Buffered;
    request.body = body;
    fillEstimates(request, json);
    return request;
}

std::string engineBody(const ChatRequest &request, const std::string &modelAndVersion, EnginePriority priority)
{
    Json json = Json::parse(request.body);
    json["model"] = modelAndVersion;
    json["stream"] = true;
    json.erase("stream_options");
    // Overrides any priority set by the caller. Engines schedule requests with greater values later.
    json["priority"] = priority == EnginePriority::Low ? 1 : 0;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Godwitfork
