#pragma once

#include "LibHttp/HttpClient.h"
#include "LibHttp/ServerSentEvents.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace Godwitfork
{

enum class EngineChunkKind { Text, Usage, End };

/// Typed element of an engine's streamed answer.
struct EngineChunk {
    EngineChunkKind kind = EngineChunkKind::Text;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Confidence of the engine in its answer, 0 to 1.
    double confidence = 0;

    auto operator<=>(const EngineChunk &) const = default;
};

/// Parses an engine's `text/event-stream` response into typed chunks. Destroying the stream before `End` closes the connection,
/// which cancels the generation.
class EngineStream
{
public:
    explicit EngineStream(std::unique_ptr<HttpResponseStream> stream);

    /// Returns the next chunk. Fails if the connection is lost, or if the response is malformed or ends without the `[DONE]`
    /// marker.
    boost::asio::awaitable<ErrorOr<EngineChunk>> next();

private:
    ErrorOr<void> parseEvent(const ServerSentEvent &event);

    std::unique_ptr<HttpResponseStream> stream;
    ServerSentEventParser parser;
    std::deque<EngineChunk> chunks;
};

} // namespace Godwitfork
