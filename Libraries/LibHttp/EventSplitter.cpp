#include "LibHttp/EventSplitter.h"

#include <charconv>

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxEventBytes = std::size_t {1024} * 1024;
/// A larger buffer is released after its event.
constexpr std::size_t keptBufferBytes = std::size_t {16} * 1024;

std::optional<std::int64_t> eventId(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            std::int64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc {}) {
                return id;
            }
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    return std::nullopt;
}

/// Length of the first event in bytes, including its blank line; 0 if the event is incomplete.
std::size_t firstEventLength(std::string_view text)
{
    const std::size_t lfEnd = text.find("\n\n");
    const std::size_t crlfEnd = text.find("\r\n\r\n");
    if (crlfEnd != std::string_view::npos && (lfEnd == std::string_view::npos || crlfEnd < lfEnd)) {
        return crlfEnd + 4;
    }
    return lfEnd == std::string_view::npos ? 0 : lfEnd + 2;
}
} // namespace

ErrorOr<std::vector<RawEvent>> EventSplitter::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::vector<RawEvent> events;
    std::string_view rest = this->buffer;
    for (std::size_t length = firstEventLength(rest); length > 0; length = firstEventLength(rest)) {
        events.push_back({std::string(rest.substr(0, length)), eventId(rest.substr(0, length))});
        rest.remove_prefix(length);
    }
    this->buffer.erase(0, this->buffer.size() - rest.size());
    if (this->buffer.empty() && this->buffer.capacity() > keptBufferBytes) {
        this->buffer = std::string();
    }
    if (this->buffer.size() > maxEventBytes) {
        return Error {"event_too_large", "an event exceeds 1 MiB"};
    }
    return events;
}

std::size_t EventSplitter::heldBytes() const
{
    return this->buffer.capacity();
}

bool EventSplitter::hasPartialEvent() const
{
    return !this->buffer.empty();
}

} // namespace Godwitfork
