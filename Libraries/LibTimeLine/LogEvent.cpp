#include "LibTimeLine/LogEvent.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::ordered_json;

/// Removes a string member and returns its value. If it is missing or not a string, returns an empty string and sets `problem`
/// unless that is null.
std::string takeString(Json &json, const char *key, std::string *problem)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string()) {
        if (problem != nullptr) {
            *problem = "the member '" + std::string(key) + "' is missing or not a string";
        }
        return {};
    }
    std::string text = found->get<std::string>();
    json.erase(found);
    return text;
}

/// Parses one line into `event`. Returns a description of the problem; empty on success.
std::string parseLine(std::string_view line, LogEvent &event)
{
    Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
        return "not a JSON object";
    }
    std::string problem;
    const auto time = json.find("time");
    if (time == json.end() || !time->is_number_integer()) {
        return "the member 'time' is missing or not an integer";
    }
    event.time = time->get<std::int64_t>();
    json.erase(time);
    event.instance = takeString(json, "instance", &problem);
    event.name = takeString(json, "event", &problem);
    event.process = takeString(json, "process", nullptr);
    event.level = takeString(json, "level", nullptr);
    event.requestId = takeString(json, "request_id", nullptr);
    event.messageId = takeString(json, "message_id", nullptr);
    event.fields = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return problem;
}
} // namespace

std::vector<LogEvent> parseLog(const std::string &file, std::string_view text, Findings &findings)
{
    std::vector<LogEvent> events;
    int number = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++number;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            continue;
        }
        LogEvent event;
        event.file = file;
        event.line = number;
        const std::string problem = parseLine(line, event);
        if (problem.empty()) {
            events.push_back(std::move(event));
        } else {
            findings.add({file, number, 0, "", problem});
        }
    }
    return events;
}

} // namespace Godwitfork
