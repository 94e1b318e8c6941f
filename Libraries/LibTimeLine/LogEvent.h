#pragma once

#include "LibCore/Finding.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One line of a process's log (format: LibCore/Log.h).
struct LogEvent {
    /// Microseconds since 1970 by the clock of the instance.
    std::int64_t time = 0;
    std::string instance;
    std::string process;
    std::string level;
    std::string event;
    /// `request_id`; empty for events of no request.
    std::string requestId;
    /// `message_id`; empty for events that are no end of a message.
    std::string messageId;
    /// The other fields as JSON text.
    std::string fields;
    std::string file;
    int line = 0;

    auto operator<=>(const LogEvent &) const = default;
};

/// Reads a log. Each malformed line becomes a finding, and the lines after it are still read.
std::vector<LogEvent> parseLog(const std::string &file, std::string_view text, Findings &findings);

} // namespace Godwitfork
