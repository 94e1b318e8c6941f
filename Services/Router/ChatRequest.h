#pragma once

#include "ApiError.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

enum class AnswerForm { Whole, Streamed };

/// A checked chat-completions request.
struct ChatRequest {
    /// Model as the caller names it, without the version.
    std::string model;
    /// Version that the caller asks for with `model:version`; empty for none.
    std::string version;
    AnswerForm form = AnswerForm::Whole;
    /// Body to forward; its `model` and `stream` members are set for each step.
    std::string body;
    /// Upper bound that the caller set, or a usual length.
    double expectedTokens = 64;
    /// Hash of the first part of a long prompt, whose computation an engine may have cached; 0 for a short prompt.
    std::uint64_t prefixHash = 0;
    double prefixTokens = 0;

    auto operator<=>(const ChatRequest &) const = default;
};

Outcome<ChatRequest, ApiError> parseChatRequest(const std::string &body);

enum class EnginePriority { Normal, Low };

/// Body for an engine: the caller's body with the engine's model name and priority, always streamed.
std::string engineBody(const ChatRequest &request, const std::string &modelAndVersion, EnginePriority priority);

} // namespace Godwitfork
