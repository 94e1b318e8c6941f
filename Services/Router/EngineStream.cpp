#include "EngineStream.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

EngineStream::EngineStream(std::unique_ptr<HttpResponseStream> stream) : stream(std::move(stream))
{
}

Asio::awaitable<ErrorOr<EngineChunk>> EngineStream::next()
{
    while (this->chunks.empty()) {
        auto bytes = co_await this->stream->readSome();
        if (!bytes) {
            co_return Error {"connection_lost", bytes.error().message};
        }
        if (bytes.value().empty()) {
            co_return Error {"truncated_answer", "the response ended without the [DONE] marker"};
        }
        CO_TRY(events, this->parser.feed(bytes.value()));
        for (const ServerSentEvent &event : events) {
            auto parsed = this->parseEvent(event);
            if (!parsed) {
                co_return parsed.error();
            }
        }
    }
    EngineChunk chunk = std::move(this->chunks.front());
    this->chunks.pop_front();
    if (chunk.kind == EngineChunkKind::End) {
        // Reads to the end of the body, so that the connection can be reused.
        co_await this->stream->readSome();
    }
    co_return chunk;
}

ErrorOr<void> EngineStream::parseEvent(const ServerSentEvent &event)
{
    if (event.data == "[DONE]") {
        this->chunks.push_back({EngineChunkKind::End, "", 0, 0, 0});
        return boost::outcome_v2::success();
    }
    try {
        const auto json = nlohmann::json::parse(event.data);
        const auto choices = json.value("choices", nlohmann::json::array());
        for (const auto &choice : choices) {
            const std::string text = choice.value("delta", nlohmann::json::object()).value("content", "");
            if (!text.empty()) {
                this->chunks.push_back({EngineChunkKind::Text, text, 0, 0, 0});
            }
        }
        if (json.contains("usage") && json["usage"].is_object()) {
            EngineChunk chunk;
            chunk.kind = EngineChunkKind::Usage;
            chunk.promptTokens = json["usage"].value("prompt_tokens", std::int64_t {0});
            chunk.completionTokens = json["usage"].value("completion_tokens", std::int64_t {0});
            chunk.confidence = json.value("confidence", 0.0);
            this->chunks.push_back(std::move(chunk));
        }
    } catch (const nlohmann::json::exception &error) {
        return Error {"malformed_answer", error.what()};
    }
    return boost::outcome_v2::success();
}

} // namespace Godwitfork
