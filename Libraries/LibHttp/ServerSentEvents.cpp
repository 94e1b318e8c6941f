#include "LibHttp/ServerSentEvents.h"

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxEventBytes = 1024 * 1024;
}

ErrorOr<std::vector<ServerSentEvent>> ServerSentEventParser::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::vector<ServerSentEvent> events;
    std::size_t start = 0;
    for (std::size_t end = this->buffer.find('\n'); end != std::string::npos; end = this->buffer.find('\n', start)) {
        std::string_view line = std::string_view(this->buffer).substr(start, end - start);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        this->processLine(line, events);
        start = end + 1;
    }
    this->buffer.erase(0, start);
    if (this->buffer.size() + this->pending.data.size() > maxEventBytes) {
        return Error {"event_too_large", "a server-sent event exceeds 1 MiB"};
    }
    return events;
}

void ServerSentEventParser::processLine(std::string_view line, std::vector<ServerSentEvent> &events)
{
    if (line.empty()) {
        if (this->hasData) {
            events.push_back(std::move(this->pending));
        }
        this->pending = {};
        this->hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "data") {
        if (this->hasData) {
            this->pending.data.push_back('\n');
        }
        this->pending.data.append(value);
        this->hasData = true;
    } else if (field == "event") {
        this->pending.event = value;
    }
}

std::string formatServerSentEvent(std::string_view data)
{
    std::string text;
    while (true) {
        const std::size_t end = data.find('\n');
        text.append("data: ").append(data.substr(0, end)).append("\n");
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
    }
    text.append("\n");
    return text;
}

} // namespace Godwitfork
