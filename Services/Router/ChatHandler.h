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

/// Model and version that execute a request.
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

    /// Handles the request, sends the response and returns the result code for the metrics.
    boost::asio::awaitable<std::string> run();

private:
    Outcome<ModelChoice, ApiError> chooseModel(const ChatRequest &request) const;
    Outcome<ModelChoice, ApiError> checkExplicitVersion(const Model &model, const std::string &version) const;
    bool takeRateToken();
    /// Chooses the model and version of the request. The pin of a session takes precedence over the configured stable version.
    boost::asio::awaitable<Outcome<ModelChoice, ApiError>> resolveModelChoice(const ChatRequest &request, MonotonicTime deadline);
    boost::asio::awaitable<Outcome<PinResult, ApiError>> resolvePin(const ChatRequest &request, const SessionHeader &header, const ModelChoice &choice);
    /// Waits until this instance has adopted the revision, then switches the request to the newest snapshot. Returns an error if
    /// the wait times out or the API key is no longer valid.
    boost::asio::awaitable<std::optional<ApiError>> waitForRevision(std::uint64_t revision, MonotonicTime deadline);
    boost::asio::awaitable<std::string> refuse(ApiError error);
    boost::asio::awaitable<StepResult> execute(const ChatRequest &request, const ModelChoice &choice, MonotonicTime deadline);
    boost::asio::awaitable<bool> forwardText(std::string text);
    boost::asio::awaitable<std::string> finish(const ChatRequest &request, StepResult result);
    boost::asio::awaitable<std::string> finishFailed(const StepResult &result);
    boost::asio::awaitable<void> commitBillingRecord(const StepResult &result, RequestOutcome outcome);
    Microunits costOf(std::int64_t promptTokens, std::int64_t completionTokens) const;

    Worker &worker;
    HttpExchange &exchange;
    SnapshotPointer snapshot;
    /// Client account of the request; owned by `snapshot`.
    const ClientAccount *account;
    AnswerMetadata metadata;
    MonotonicTime startedAt;
    bool streamStarted = false;
};

} // namespace Godwitfork
