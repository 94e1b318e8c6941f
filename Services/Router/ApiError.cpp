#include "ApiError.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Godwitfork
{

namespace
{
int statusOfCode(const std::string &code)
{
    static const std::map<std::string, int> statuses {
        {"invalid_json", 400},
        {"invalid_request", 400},
        {"malformed_request", 400},
        {"invalid_api_key", 401},
        {"model_not_allowed", 403},
        {"version_not_allowed", 403},
        {"model_not_found", 404},
        {"service_not_found", 404},
        {"not_found", 404},
        {"method_not_allowed", 405},
        {"request_timeout", 408},
        {"request_in_progress", 409},
        {"outcome_unknown", 409},
        {"body_too_large", 413},
        {"session_version_withdrawn", 409},
        {"header_too_large", 431},
        {"idempotency_key_reused", 422},
        {"idempotency_key_required", 400},
        {"rate_limited", 429},
        {"budget_exhausted", 429},
        {"endpoint_failed", 502},
        {"overloaded", 503},
        {"not_ready", 503},
        {"store_unavailable", 503},
        {"no_endpoint", 503},
        {"deadline_exceeded", 504},
    };
    const auto found = statuses.find(code);
    return found == statuses.end() ? 500 : found->second;
}

/// Error type that client libraries of the chat-completions API map to an exception class.
const char *typeOfStatus(int status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}
} // namespace

const char *ranStatusName(RanStatus ran)
{
    switch (ran) {
    case RanStatus::No:
        return "no";
    case RanStatus::Yes:
        return "yes";
    case RanStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

ApiError apiError(const std::string &code, std::string message, RanStatus ran, std::string parameter)
{
    return {statusOfCode(code), code, std::move(message), ran, std::move(parameter)};
}

std::string errorBody(const ApiError &error, std::string_view requestId)
{
    nlohmann::json body;
    body["error"] = {
        {"message", error.message}, {"type", typeOfStatus(error.status)}, {"code", error.code}, {"ran", ranStatusName(error.ran)}, {"request_id", requestId}};
    body["error"]["param"] = error.parameter.empty() ? nlohmann::json(nullptr) : nlohmann::json(error.parameter);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const ApiError &error, std::string_view requestId)
{
    HttpResponse response = jsonResponse(error.status, errorBody(error, requestId));
    if (!requestId.empty()) {
        response.headers.push_back({"X-Request-Id", std::string(requestId)});
    }
    // Client libraries retry 409, 429 and 5xx responses automatically unless this header forbids it. A request that may
    // have been executed must not be retried automatically.
    if (error.ran != RanStatus::No) {
        response.headers.push_back({"X-Should-Retry", "false"});
    }
    return response;
}

} // namespace Godwitfork
