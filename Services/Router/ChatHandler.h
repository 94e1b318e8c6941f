#pragma once

#include "ChatAnswer.h"
#include "ChatRequest.h"
#include "EngineStep.h"
#include "LibHttp/HttpServer.h"
#include "LibLedger/BillingRecord.h"
#include "Worker.h"

#include <memory>
#include <optional>
#include <string>

namespace Godwitfork
{

/// A model and version that a request may run on.
struct ModelChoice {
    std::string model;
    std::string version;

    auto operator<=>(const ModelChoice &) const = default;
};

/// Handles one chat-completions request of an authenticated client account.
class ChatHandler
{
public:
    ChatHandler(Worker &worker, HttpExchange &exchange, SnapshotPointer snapshot, const ClientAccount &account, std::string requestId);

    /// Answers the request and returns the result code for the metrics.
    boost::asio::awaitable<std::string> run();

private:
    Outcome<ModelChoice, ApiError> chooseModel(const ChatRequest &request) const;
    Outcome<ModelChoice, ApiError> checkExplicitVersion(const Model &model, const std::string &version) const;
    bool takeRateToken();
    /// Chooses the model and version; a session's pin goes before the choice.
    boost::asio::awaitable<Outcome<ModelChoice, ApiError>> choose(const ChatRequest &request, MonotonicTime deadline);
    boost::asio::awaitable<Outcome<PinResult, ApiError>> resolvePin(const ChatRequest &request, const SessionHeader &header, const ModelChoice &choice);
    /// Waits until the instance has adopted the revision and goes on under it; returns why it cannot.
    boost::asio::awaitable<std::optional<ApiError>> adoptRevision(std::uint64_t revision, MonotonicTime deadline);
    boost::asio::awaitable<std::string> refuse(ApiError error);
    boost::asio::awaitable<StepResult> execute(const ChatRequest &request, const ModelChoice &choice, MonotonicTime deadline);
    boost::asio::awaitable<bool> forward(std::string text);
    boost::asio::awaitable<std::string> finish(const ChatRequest &request, StepResult result);
    boost::asio::awaitable<std::string> fail(const StepResult &result);
    boost::asio::awaitable<void> commit(const StepResult &result, RequestOutcome outcome);
    Microunits costOf(std::int64_t promptTokens, std::int64_t completionTokens) const;

    Worker &worker;
    HttpExchange &exchange;
    SnapshotPointer snapshot;
    /// Account in the snapshot.
    const ClientAccount *account;
    AnswerFacts facts;
    MonotonicTime started;
    bool streamStarted = false;
};

} // namespace Godwitfork
