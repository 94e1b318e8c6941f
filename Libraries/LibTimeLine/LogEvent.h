#pragma once

#include "LibCore/Finding.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One line of a process's log; LibCore/Log.h defines the format.
struct LogEvent {
    /// Time of the event by the instance's clock, in microseconds since 1970.
    std::int64_t time = 0;
    std::string instance;
    std::string process;
    std::string level;
    /// Member `event`, the event's name.
    std::string name;
    /// Member `request_id`; empty if the event belongs to no request.
    std::string requestId;
    /// Member `message_id`; empty if the event is neither the sending nor the receipt of a message.
    std::string messageId;
    /// All other members, as the text of a JSON object.
    std::string fields;
    std::string file;
    int line = 0;

    auto operator<=>(const LogEvent &) const = default;
};

/// Parses a log. Reports each malformed line as a finding and continues with the next line.
std::vector<LogEvent> parseLog(const std::string &file, std::string_view text, Findings &findings);

} // namespace Godwitfork
