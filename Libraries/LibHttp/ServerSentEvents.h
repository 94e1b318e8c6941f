#pragma once

#include "LibCore/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One event of a `text/event-stream`; comments carry no event and are dropped.
struct ServerSentEvent {
    std::string event;
    std::string data;

    auto operator<=>(const ServerSentEvent &) const = default;
};

/// Incremental parser of a `text/event-stream` (WHATWG HTML, section 9.2), for chunks cut at any byte.
class ServerSentEventParser
{
public:
    /// Takes the next bytes and returns the events that they complete. Fails with `event_too_large` once an event
    /// passes 1 MiB, since a peer that never ends an event would fill the memory.
    ErrorOr<std::vector<ServerSentEvent>> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<ServerSentEvent> &events);

    std::string buffer;
    ServerSentEvent pending;
    bool hasData = false;
};

/// Text of one event with the given data.
std::string formatServerSentEvent(std::string_view data);

} // namespace Godwitfork
