#pragma once

#include "ApiError.h"
#include "LibCore/Error.h"

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

    auto operator<=>(const ChatRequest &) const = default;
};

Outcome<ChatRequest, ApiError> parseChatRequest(const std::string &body);

/// Body for an engine: the caller's body with the engine's model name, always streamed.
std::string engineBody(const ChatRequest &request, const std::string &modelAndVersion);

} // namespace Godwitfork
