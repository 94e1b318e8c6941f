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

/// One piece of an engine's streamed answer.
struct EngineChunk {
    EngineChunkKind kind = EngineChunkKind::Text;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    double confidence = 0;

    auto operator<=>(const EngineChunk &) const = default;
};

/// Reads an engine's `text/event-stream` answer as typed chunks. Destroying it before `End` cancels the generation.
class EngineStream
{
public:
    explicit EngineStream(std::unique_ptr<HttpResponseStream> stream);

    /// Fails if the connection is lost, the answer is malformed, or it ends without its end marker.
    boost::asio::awaitable<ErrorOr<EngineChunk>> next();

private:
    ErrorOr<void> take(const ServerSentEvent &event);

    std::unique_ptr<HttpResponseStream> stream;
    ServerSentEventParser parser;
    std::deque<EngineChunk> chunks;
};

} // namespace Godwitfork
