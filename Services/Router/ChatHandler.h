#pragma once

#include "ChatAnswer.h"
#include "ChatRequest.h"
#include "EngineStep.h"
#include "LibHttp/HttpServer.h"
#include "LibLedger/BillingRecord.h"
#include "Worker.h"

#include <memory>
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
    Outcome<MonotonicTime, ApiError> readDeadline() const;
    /// Replaces the choice by the session's pin if the request belongs to a session.
    boost::asio::awaitable<Outcome<ModelChoice, ApiError>> applySession(const ChatRequest &request, ModelChoice choice);
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
    const ClientAccount &account;
    AnswerFacts facts;
    MonotonicTime started;
    bool streamStarted = false;
};

} // namespace Godwitfork
