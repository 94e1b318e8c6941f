#pragma once

#include "LibCore/Money.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <cstdint>
#include <string>

namespace Godwitfork
{

/// What the caller learns about how its answer came about.
struct AnswerFacts {
    std::string requestId;
    /// Model as the caller named it.
    std::string requestedModel;
    std::string model;
    std::string version;
    std::string session;
    std::string sessionMovedFrom;
    int cascadeSteps = 1;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    Microunits cost = 0;
    WallTime created;
};

/// Headers that are known before the answer's end.
HttpHeaders leadingHeaders(const AnswerFacts &facts);
HttpResponse wholeAnswer(const AnswerFacts &facts, const std::string &text);
std::string deltaEvent(const AnswerFacts &facts, const std::string &text);
/// Last chunk with usage and cost, and the end marker.
std::string endEvents(const AnswerFacts &facts);

} // namespace Godwitfork
