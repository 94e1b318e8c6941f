#include "EngineApi.h"

#include "LibCore/Digest.h"
#include "LibHttp/ServerSentEvents.h"
#include "LibStandIn/StandInProcess.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>
#include <sstream>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int minDefaultTokens = 8;
constexpr int defaultTokenSpread = 24;
/// Engines send a comment at least once a second, so that a silent connection is told apart from a slow answer.
constexpr Duration heartbeatInterval = std::chrono::seconds(1);

int countWords(const std::string &text)
{
    std::istringstream stream(text);
    int words = 0;
    for (std::string word; stream >> word;) {
        ++words;
    }
    return words;
}

double difficultyOf(const std::string &prompt)
{
    return static_cast<double>(hash64(prompt)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Confidence that falls as the prompt's difficulty nears and passes the engine's skill.
double confidenceOf(double skill, double difficulty)
{
    return std::clamp(0.5 + (skill - difficulty), 0.0, 1.0);
}

std::string tokenText(const EngineRequest &request, int index, int count)
{
    // The first and last tokens let a caller check that the answer is its own and complete.
    if (index == 0) {
        return "[" + request.model + " " + request.requestId + "]";
    }
    if (index == count - 1) {
        return " [end " + std::to_string(count) + "]";
    }
    return " word" + std::to_string(index);
}

std::string tokenEvent(const EngineRequest &request, int index, int count)
{
    const nlohmann::json chunk {{"id", request.requestId},
                                {"object", "chat.completion.chunk"},
                                {"model", request.model},
                                {"choices", {{{"index", 0}, {"delta", {{"content", tokenText(request, index, count)}}}, {"finish_reason", nullptr}}}}};
    return formatServerSentEvent(chunk.dump());
}

std::string lastEvents(const EngineRequest &request, int count, double confidence)
{
    const nlohmann::json chunk {{"id", request.requestId},
                                {"object", "chat.completion.chunk"},
                                {"model", request.model},
                                {"choices", {{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", "stop"}}}},
                                {"usage", {{"prompt_tokens", request.promptTokens}, {"completion_tokens", count}}},
                                {"confidence", confidence}};
    return formatServerSentEvent(chunk.dump()) + formatServerSentEvent("[DONE]");
}

std::string promptOf(const nlohmann::json &body)
{
    std::string prompt;
    for (const auto &message : body.value("messages", nlohmann::json::array())) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            prompt += message["content"].get<std::string>() + "\n";
        }
    }
    return prompt;
}

EngineRequest parseRequest(const HttpRequest &request, const nlohmann::json &body)
{
    EngineRequest parsed;
    parsed.requestId = headerValue(request.headers, "X-Request-Id");
    parsed.model = body.value("model", "");
    parsed.prompt = promptOf(body);
    parsed.promptTokens = countWords(parsed.prompt);
    const int chosen = minDefaultTokens + static_cast<int>(hash64(parsed.prompt) % defaultTokenSpread);
    parsed.maxTokens = std::max(2, body.value("max_tokens", chosen));
    return parsed;
}

const char *stateName(ExecutionState state)
{
    switch (state) {
    case ExecutionState::Running:
        return "running";
    case ExecutionState::Finished:
        return "finished";
    case ExecutionState::Cancelled:
        return "cancelled";
    }
    return "running";
}
} // namespace

EngineApi::EngineApi(Asio::io_context &context, EngineProfile profile) : context(context), profile(std::move(profile))
{
}

Asio::awaitable<void> EngineApi::sleep(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Duration EngineApi::tokenTime() const
{
    const double crowding = std::max(1.0, static_cast<double>(this->running) / this->profile.slots);
    return Duration(static_cast<Duration::rep>(static_cast<double>(this->profile.perToken.count()) * crowding));
}

Asio::awaitable<void> EngineApi::handle(HttpExchange &exchange)
{
    const std::string path = targetPath(exchange.request().target);
    if (path == "/v1/chat/completions" && exchange.request().method == "POST") {
        co_await this->handleChat(exchange);
    } else if (path == "/executions") {
        co_await exchange.respond(this->executionsResponse());
    } else if (path == "/load") {
        co_await exchange.respond(this->loadResponse());
    } else {
        co_await exchange.respond(standInRefusal(404, "not_found", "no such route"));
    }
}

Asio::awaitable<void> EngineApi::handleChat(HttpExchange &exchange)
{
    const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(standInRefusal(400, "invalid_json", "the body must be a JSON object"));
        co_return;
    }
    EngineRequest request = parseRequest(exchange.request(), body);
    if (!this->profile.serves.contains(request.model)) {
        co_await exchange.respond(standInRefusal(404, "model_not_loaded", "this engine does not serve '" + request.model + "'"));
        co_return;
    }
    ++this->running;
    co_await this->generate(exchange, std::move(request));
    --this->running;
}

Asio::awaitable<void> EngineApi::generate(HttpExchange &exchange, EngineRequest request)
{
    const std::size_t slot = this->executions.size();
    Execution execution;
    execution.requestId = request.requestId;
    execution.model = request.model;
    execution.promptTokens = request.promptTokens;
    execution.startedMicroseconds = wallNow().time_since_epoch().count();
    this->executions.push_back(execution);

    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"X-Request-Id", request.requestId});
    bool connected = co_await exchange.startStream(200, headers);
    Duration wait = this->profile.firstToken;
    for (int index = 0; connected && index < request.maxTokens; ++index) {
        while (connected && wait > heartbeatInterval) {
            co_await this->sleep(heartbeatInterval);
            wait -= heartbeatInterval;
            connected = co_await exchange.writeChunk(": heartbeat\n\n");
        }
        if (wait > Duration(0)) {
            co_await this->sleep(wait);
        }
        if (connected) {
            connected = co_await exchange.writeChunk(tokenEvent(request, index, request.maxTokens));
            this->executions[slot].completionTokens = index + 1;
        }
        wait = this->tokenTime();
    }
    if (connected) {
        const double confidence = confidenceOf(this->profile.skill, difficultyOf(request.prompt));
        connected = co_await exchange.writeChunk(lastEvents(request, request.maxTokens, confidence));
    }
    if (connected) {
        connected = co_await exchange.finishStream();
    }
    this->executions[slot].state = connected ? ExecutionState::Finished : ExecutionState::Cancelled;
}

HttpResponse EngineApi::executionsResponse() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Execution &execution : this->executions) {
        list.push_back({{"request_id", execution.requestId},
                        {"model", execution.model},
                        {"prompt_tokens", execution.promptTokens},
                        {"completion_tokens", execution.completionTokens},
                        {"state", stateName(execution.state)},
                        {"started_us", execution.startedMicroseconds}});
    }
    return jsonResponse(200, nlohmann::json {{"engine", this->profile.name}, {"executions", list}}.dump());
}

HttpResponse EngineApi::loadResponse() const
{
    return jsonResponse(200, nlohmann::json {{"running", this->running}, {"slots", this->profile.slots}}.dump());
}

} // namespace Godwitfork
