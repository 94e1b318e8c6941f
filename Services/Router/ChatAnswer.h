#pragma once

#include "LibCore/Money.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

/// Identity, routing, usage and cost of a response, reported to the caller in headers and body fields.
struct AnswerMetadata {
    std::string requestId;
    /// Model name from the request; `model` is the model that generated the answer.
    std::string requestedModel;
    std::string model;
    std::string version;
    /// Session token for the `Godwitfork-Session` header; empty for a request without a session.
    std::string session;
    /// Version that the session was pinned to before this request moved it; empty if it was not moved.
    std::string sessionMovedFrom;
    int cascadeSteps = 1;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    Microunits cost = 0;
    WallTime created;
};

/// Response headers whose values are known before the answer is complete; excludes token counts and cost.
HttpHeaders leadingHeaders(const AnswerMetadata &metadata);
HttpResponse bufferedResponse(const AnswerMetadata &metadata, const std::string &text);
std::string deltaEvent(const AnswerMetadata &metadata, const std::string &text);
/// Final chunk of a streamed answer with usage and cost, followed by the `[DONE]` marker.
std::string endEvents(const AnswerMetadata &metadata);

} // namespace Godwitfork
