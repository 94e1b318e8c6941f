#include "LibCore/Log.h"

#include "LibCore/LogRateLimiter.h"
#include "LibCore/NonBlockingSink.h"
#include "LibCore/Time.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>
#include <optional>
#include <unistd.h>

namespace Godwitfork
{

namespace
{
struct LogState {
    std::string process;
    std::string instance;
    std::shared_ptr<spdlog::logger> logger;
    std::shared_ptr<NonBlockingSink> sink;
    std::mutex limiterMutex;
    std::optional<LogRateLimiter> limiter;
};

LogState &logState()
{
    static LogState state;
    return state;
}

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}
} // namespace

const char *logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

void startLog(std::string process, std::string instance, LogLevel level)
{
    LogState &state = logState();
    state.process = std::move(process);
    state.instance = std::move(instance);
    state.sink = std::make_shared<NonBlockingSink>(STDOUT_FILENO);
    state.logger = std::make_shared<spdlog::logger>("godwitfork", state.sink);
    state.logger->set_pattern("%v");
    state.logger->set_level(toSpdlog(level));
    state.logger->flush_on(spdlog::level::info);
}

namespace
{
void writeLine(const LogState &state, LogLevel level, std::string_view event, const nlohmann::ordered_json &fields)
{
    nlohmann::ordered_json line;
    line["time"] = wallNow().time_since_epoch().count();
    line["level"] = logLevelName(level);
    line["process"] = state.process;
    line["instance"] = state.instance;
    line["event"] = event;
    line.update(fields);
    // Invalid UTF-8 from external input is replaced; the default, an exception, would lose the line.
    state.logger->log(toSpdlog(level), line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

/// Returns whether the rate limit allows a line and, if so, the number of lines dropped since the last allowed one.
std::pair<bool, std::uint64_t> acquireLine(LogState &state, LogLevel level)
{
    const std::lock_guard lock(state.limiterMutex);
    if (!state.limiter) {
        return {true, 0};
    }
    const LogImportance importance = level == LogLevel::Debug || level == LogLevel::Info ? LogImportance::Routine : LogImportance::Important;
    if (!state.limiter->tryTake(importance, monotonicNow())) {
        return {false, 0};
    }
    return {true, state.limiter->takeDropped() + state.sink->takeDropped()};
}
} // namespace

void setLogRateLimit(double linesPerSecond, double burst)
{
    LogState &state = logState();
    const std::lock_guard lock(state.limiterMutex);
    state.limiter.emplace(linesPerSecond, burst);
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::ordered_json &fields)
{
    LogState &state = logState();
    if (!state.logger || !state.logger->should_log(toSpdlog(level))) {
        return;
    }
    const auto [isLineAllowed, dropped] = acquireLine(state, level);
    if (!isLineAllowed) {
        return;
    }
    if (dropped > 0) {
        writeLine(state, LogLevel::Warning, "log.dropped", {{"lines", dropped}});
    }
    writeLine(state, level, event, fields);
}

void logEvent(LogLevel level, std::string_view event)
{
    logEvent(level, event, nlohmann::ordered_json::object());
}

void flushLog()
{
    if (logState().logger) {
        logState().logger->flush();
    }
}

} // namespace Godwitfork
