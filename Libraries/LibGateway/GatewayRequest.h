#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A piece of a prompt. Requests with the same leading parts share their cached computation.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/// What a caller's request says about itself.
struct GatewayRequest {
    /// Identity of the caller's attempt.
    std::string id;
    std::string host;
    std::string path;
    /// Key of the client account; empty if there is none.
    std::string key;
    /// How long the caller waits.
    std::optional<Duration> deadline;
    /// Model that the caller names; empty if the router chooses.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// The caller's estimate of the tokens generated.
    std::optional<std::int64_t> expectedOutputTokens;
    std::vector<PromptPart> promptParts;
    std::string session;
    /// Number of the event after which the caller's stream goes on.
    std::optional<std::int64_t> resumeAfter;

    auto operator<=>(const GatewayRequest &) const = default;
};

/// What an attempt adds to the caller's request.
struct AttemptHeaders {
    std::string endpoint;
    std::string account;
    Duration remaining = Duration::zero();
    /// Model that the router chose; empty if the caller named it.
    std::string model;
    std::optional<std::int64_t> resumeAfter;
    /// Engine priority from 0, the most urgent, to 9.
    std::optional<int> enginePriority;

    auto operator<=>(const AttemptHeaders &) const = default;
};

/// What an endpoint's answer says besides its body.
struct AnswerMetadata {
    int status = 0;
    /// The endpoint states that it did not run the request and will not.
    bool notRun = false;
    /// Another endpoint answers at this address.
    bool isOtherEndpoint = false;
    bool isSigned = false;
    /// The model's own opinion of its answer, from 0 to 100.
    std::optional<int> confidence;

    auto operator<=>(const AnswerMetadata &) const = default;
};

} // namespace Godwitfork
