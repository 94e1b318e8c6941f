#pragma once

#include "LibHttp/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// How the stand-in behaves. Times are for one request alone; with more than `slots` running requests each token takes
/// proportionally longer, as with continuous batching.
struct EngineProfile {
    std::string name;
    std::set<std::string> serves;
    Duration firstToken = std::chrono::milliseconds(5);
    Duration perToken = std::chrono::milliseconds(1);
    int slots = 64;
    /// Share of prompts, by difficulty, that this engine answers well.
    double skill = 1;
};

enum class ExecutionState { Running, Finished, Cancelled };

/// One execution, for the checks of tests and of the load tool.
struct Execution {
    std::string requestId;
    std::string model;
    int promptTokens = 0;
    int completionTokens = 0;
    ExecutionState state = ExecutionState::Running;
    std::int64_t startedMicroseconds = 0;
};

/// Chat request as the engine reads it.
struct EngineRequest {
    std::string requestId;
    std::string model;
    std::string prompt;
    int promptTokens = 0;
    int maxTokens = 0;
};

/// HTTP face of the model engine stand-in: chat completions as server-sent events, `GET /executions`, `GET /load`.
class EngineApi
{
public:
    EngineApi(boost::asio::io_context &context, EngineProfile profile);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<void> handleChat(HttpExchange &exchange);
    boost::asio::awaitable<void> generate(HttpExchange &exchange, EngineRequest request);
    boost::asio::awaitable<void> sleep(Duration duration);
    Duration tokenTime() const;
    HttpResponse executionsResponse() const;
    HttpResponse loadResponse() const;

    boost::asio::io_context &context;
    EngineProfile profile;
    std::vector<Execution> executions;
    int running = 0;
};

} // namespace Godwitfork
