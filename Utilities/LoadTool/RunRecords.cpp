#include "RunRecords.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;
constexpr int firstErrorStatus = 400;
constexpr std::string_view endMark = "[end ";

/// Member of a JSON object as a text; empty if it is missing or of another type.
std::string textMember(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

const Json &member(const Json &json, const char *key)
{
    static const Json none = Json::object();
    const auto found = json.is_object() ? json.find(key) : json.end();
    return found != json.end() ? *found : none;
}

std::int64_t integerMember(const Json &json, const char *key)
{
    const Json &value = member(json, key);
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

std::string contentOf(const Json &json, const char *part)
{
    const Json &choices = member(json, "choices");
    if (!choices.is_array() || choices.empty()) {
        return {};
    }
    return textMember(member(choices[0], part), "content");
}

void takeNumbers(const Json &json, CallerRecord &caller)
{
    const Json &usage = member(json, "usage");
    if (usage.contains("completion_tokens")) {
        caller.reportedPromptTokens = integerMember(usage, "prompt_tokens");
        caller.reportedCompletionTokens = integerMember(usage, "completion_tokens");
    }
    if (json.contains("godwitfork")) {
        caller.reportedCost = integerMember(json["godwitfork"], "cost_microunits");
    }
}
} // namespace

std::string chatRequestBody(const PlannedRequest &planned, const std::string &model)
{
    const Json body {{"model", model},
                     {"stream", planned.form == ResponseForm::Streamed},
                     {"max_tokens", planned.tokens},
                     {"messages", Json::array({{{"role", "user"}, {"content", planned.prompt}}})}};
    return body.dump();
}

ResponseReader::ResponseReader(RequestResult &result) : result(result)
{
}

bool ResponseReader::takeEvent(const std::string &data)
{
    if (data == "[DONE]") {
        this->hasEndEvent = true;
        return false;
    }
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        this->takeError("malformed_response", "", "");
        return false;
    }
    if (json.contains("error")) {
        const Json &error = json["error"];
        this->takeError(textMember(error, "code"), textMember(error, "ran"), textMember(error, "request_id"));
        return false;
    }
    takeNumbers(json, this->result.caller);
    const std::string content = contentOf(json, "delta");
    this->text += content;
    return !content.empty();
}

void ResponseReader::takeBody(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        this->takeError("malformed_response", "", "");
        return;
    }
    if (this->result.status >= firstErrorStatus) {
        const Json &error = member(json, "error");
        this->takeError(textMember(error, "code"), textMember(error, "ran"), textMember(error, "request_id"));
        this->result.caller.outcome = CallerOutcome::Refused;
        return;
    }
    takeNumbers(json, this->result.caller);
    this->text = contentOf(json, "message");
    this->readMarks();
    this->result.caller.outcome = CallerOutcome::Answered;
    this->result.code = "ok";
}

void ResponseReader::finishStream()
{
    this->readMarks();
    if (this->hasError) {
        return;
    }
    if (!this->hasEndEvent) {
        this->result.code = "truncated";
        return;
    }
    this->result.caller.outcome = CallerOutcome::Answered;
    this->result.code = "ok";
}

void ResponseReader::takeError(const std::string &code, const std::string &ran, const std::string &requestId)
{
    this->hasError = true;
    this->result.code = code;
    this->result.caller.ran = ran;
    if (this->result.caller.requestId.empty()) {
        this->result.caller.requestId = requestId;
    }
}

// The engine stand-in's first token is "[model:version identity]", its last one " [end N]" with the number of tokens.
void ResponseReader::readMarks()
{
    CallerRecord &caller = this->result.caller;
    const std::size_t space = this->text.find(' ');
    const std::size_t bracket = this->text.find(']');
    if (this->text.starts_with("[") && space < bracket && bracket != std::string::npos) {
        caller.textRequestId = this->text.substr(space + 1, bracket - space - 1);
    }
    const std::size_t end = this->text.rfind(endMark);
    if (end != std::string::npos) {
        const char *first = this->text.data() + end + endMark.size();
        std::from_chars(first, this->text.data() + this->text.size(), caller.textEndTokens);
    }
}

} // namespace Godwitfork
