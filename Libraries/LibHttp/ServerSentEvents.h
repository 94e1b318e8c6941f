#pragma once

#include "LibCore/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One event of a `text/event-stream`. Comments are not events; the parser skips them.
struct ServerSentEvent {
    std::string event;
    std::string data;

    auto operator<=>(const ServerSentEvent &) const = default;
};

/// Incremental parser of a `text/event-stream` (WHATWG HTML, section 9.2). The input may be split at any byte.
class ServerSentEventParser
{
public:
    /// Parses the next bytes of the stream and returns the events that they complete. Fails with `event_too_large` once an
    /// event exceeds 1 MiB, since a peer that never ends an event would exhaust the memory.
    ErrorOr<std::vector<ServerSentEvent>> feed(std::string_view bytes);

private:
    void processLine(std::string_view line, std::vector<ServerSentEvent> &events);

    std::string buffer;
    ServerSentEvent pending;
    bool hasData = false;
};

/// Formats an event with the given data, one `data:` line per line of data.
std::string formatServerSentEvent(std::string_view data);

} // namespace Godwitfork
