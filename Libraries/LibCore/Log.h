#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Godwitfork
{

enum class LogLevel { Debug, Info, Warning, Error };

/// Name of a level in settings and log lines.
const char *logLevelName(LogLevel level);

/// Starts the JSON-line log of this process on standard output. `process` is the binary's name, `instance` the
/// instance's name; both stand in every line, so that the time line can tell processes apart.
void startLog(std::string process, std::string instance, LogLevel level);

/// Writes one line: `time` (microseconds since 1970), `level`, `process`, `instance`, `event`, then the given fields.
/// Keys and tokens of callers must never be passed.
void logEvent(LogLevel level, std::string_view event, const nlohmann::ordered_json &fields);
void logEvent(LogLevel level, std::string_view event);

/// Bounds the lines of this process from now on: routine lines (info and below) are dropped before the others, and a line
/// `log.dropped` tells how many. Without a call there is no bound.
void setLogRateLimit(double linesPerSecond, double burst);

/// Writes out what is buffered.
void flushLog();

} // namespace Godwitfork
