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

/// Part of a prompt. Requests whose prompts start with the same parts can share the cached computation of these parts.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/// Metadata of a caller's request, from its headers.
struct GatewayRequest {
    /// Id of the caller's attempt.
    std::string id;
    std::string host;
    std::string path;
    /// API key of the client account; empty if the request has none.
    std::string key;
    /// Time for which the caller waits for the answer.
    std::optional<Duration> deadline;
    /// Model that the caller requests; empty if the router chooses one.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// The caller's estimate of the number of generated tokens.
    std::optional<std::int64_t> expectedOutputTokens;
    std::vector<PromptPart> promptParts;
    std::string session;
    /// Number of the event after which the caller's stream is resumed.
    std::optional<std::int64_t> resumeAfter;

    auto operator<=>(const GatewayRequest &) const = default;
};

/// Values of the headers that the router adds to the caller's request for one attempt.
struct AttemptHeaders {
    std::string endpoint;
    std::string account;
    Duration remaining = Duration::zero();
    /// Model that the router chose; empty if the caller requested one.
    std::string model;
    std::optional<std::int64_t> resumeAfter;
    /// Priority of the request at an engine, 0 is the most urgent; empty for the engine's default.
    std::optional<int> enginePriority;

    auto operator<=>(const AttemptHeaders &) const = default;
};

/// What an endpoint says of itself in an answer, beside the answer's content.
struct EndpointAnnouncement {
    /// Requests a second that the endpoint takes from all instances together; empty if it names no limit.
    std::optional<double> requestsPerSecond;
    /// Whether the endpoint is leaving, so that it wants no new requests.
    bool isLeaving = false;
    /// Time for which the endpoint, which refused the request, wants none of this instance.
    std::optional<Duration> closedFor;
    /// Header value that was ignored because it is malformed; empty if there is none.
    std::string problem;

    auto operator<=>(const EndpointAnnouncement &) const = default;
};

/// Status and header values of an endpoint's answer.
struct AnswerMetadata {
    int status = 0;
    /// The endpoint states that it did not run the request and will not.
    bool notRun = false;
    /// Whether the answer comes from another endpoint, which has taken over the address.
    bool isOtherEndpoint = false;
    /// Whether the answer has the endpoint's signature.
    bool isSigned = false;
    /// Confidence that the model reports for its answer, 0 to 100.
    std::optional<int> confidence;
    EndpointAnnouncement announcement;

    auto operator<=>(const AnswerMetadata &) const = default;
};

} // namespace Godwitfork
