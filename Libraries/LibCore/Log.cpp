#include "LibCore/Log.h"

#include "LibCore/Time.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>

namespace Godwitfork
{

namespace
{
struct LogState {
    std::string process;
    std::string instance;
    std::shared_ptr<spdlog::logger> logger;
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
    state.logger = std::make_shared<spdlog::logger>("godwitfork", std::make_shared<spdlog::sinks::stdout_sink_mt>());
    state.logger->set_pattern("%v");
    state.logger->set_level(toSpdlog(level));
    state.logger->flush_on(spdlog::level::info);
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::ordered_json &fields)
{
    const LogState &state = logState();
    if (!state.logger || !state.logger->should_log(toSpdlog(level))) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = wallNow().time_since_epoch().count();
    line["level"] = logLevelName(level);
    line["process"] = state.process;
    line["instance"] = state.instance;
    line["event"] = event;
    line.update(fields);
    // Invalid UTF-8 from outside input is replaced, because throwing here would lose the line.
    state.logger->log(toSpdlog(level), line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
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
