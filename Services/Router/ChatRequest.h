#pragma once

#include "ApiError.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

enum class ResponseMode { Buffered, Streamed };

/// Validated chat-completions request.
struct ChatRequest {
    /// Model name from the request, without the version.
    std::string model;
    /// Version requested as `model:version`; empty if the request names none.
    std::string version;
    ResponseMode mode = ResponseMode::Buffered;
    /// Request body as received; `engineBody` replaces its `model`, `stream` and `priority` members.
    std::string body;
    /// Expected length of the answer in tokens: the upper bound from the request, or a typical length.
    double expectedTokens = 64;
    /// Hash of the prefix of a long prompt, used for cache affinity with engines; 0 for a short prompt.
    std::uint64_t prefixHash = 0;
    /// Estimated length of the hashed prefix in tokens.
    double prefixTokens = 0;

    auto operator<=>(const ChatRequest &) const = default;
};

Outcome<ChatRequest, ApiError> parseChatRequest(const std::string &body);

enum class EnginePriority { Normal, Low };

/// Request body for an engine: the caller's body with the engine's model name and priority and with streaming enabled.
std::string engineBody(const ChatRequest &request, const std::string &modelAndVersion, EnginePriority priority);

} // namespace Godwitfork
