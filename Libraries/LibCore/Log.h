#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Godwitfork
{

enum class LogLevel { Debug, Info, Warning, Error };

/// Name of a log level in settings and log lines.
const char *logLevelName(LogLevel level);

/// Starts the log of this process: JSON lines on standard output. `process` is the name of the binary, `instance` the name of
/// the instance; every line contains both, so that merged logs can be attributed to processes.
void startLog(std::string process, std::string instance, LogLevel level);

/// Writes one line with `time` (microseconds since 1970), `level`, `process`, `instance`, `event` and the given fields. The
/// fields must never contain keys or tokens of clients.
void logEvent(LogLevel level, std::string_view event, const nlohmann::ordered_json &fields);
void logEvent(LogLevel level, std::string_view event);

/// Limits the rate of log lines of this process with a token bucket. Lines of levels info and debug are dropped before those of
/// higher levels, and a `log.dropped` line reports the number of dropped lines. By default the rate is unlimited.
void setLogRateLimit(double linesPerSecond, double burst);

/// Flushes buffered log lines.
void flushLog();

} // namespace Godwitfork
