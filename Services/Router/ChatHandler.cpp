#include "ChatHandler.h"

#include "LibCore/Log.h"
#include "RequestDeadline.h"
#include "RunOn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Model prices are per 1000 tokens.
constexpr Microunits tokensPerPriceUnit = 1000;
/// Every instance applies a configuration change within 5 s (design section 1.4).
constexpr Duration adoptionTimeout = std::chrono::seconds(5);
constexpr Duration adoptionPollInterval = std::chrono::milliseconds(20);

/// Whether the pinned version exists, is not withdrawn and may be used by the account.
bool isInService(const RoutingSnapshot &snapshot, const ClientAccount &account, const SessionPin &pin)
{
    const auto model = snapshot.site().models.find(pin.model);
    const ModelVersion *version = model == snapshot.site().models.end() ? nullptr : findVersion(model->second, pin.version);
    return version != nullptr && version->state != VersionState::Withdrawn && isVersionAllowed(account, pin.model, pin.version);
}

Microunits divideRoundingUp(Microunits value, Microunits divisor)
{
    return (value + divisor - 1) / divisor;
}
} // namespace

ChatHandler::ChatHandler(Worker &worker, HttpExchange &exchange, SnapshotPointer snapshot, const ClientAccount &account, std::string requestId)
    : worker(worker), exchange(exchange), snapshot(std::move(snapshot)), account(&account), startedAt(monotonicNow())
{
    this->metadata.requestId = std::move(requestId);
    this->metadata.created = wallNow();
}

Asio::awaitable<std::string> ChatHandler::run()
{
    const auto request = parseChatRequest(this->exchange.request().body);
    if (!request) {
        co_return co_await this->refuse(request.error());
    }
    const auto deadline = requestDeadline(this->exchange.request(), this->startedAt, this->worker.settings);
    if (!deadline) {
        co_return co_await this->refuse(deadline.error());
    }
    const auto choice = co_await this->resolveModelChoice(request.value(), deadline.value());
    if (!choice) {
        co_return co_await this->refuse(choice.error());
    }
    if (!this->worker.status.isLedgerAccepting()) {
        ApiError error =
            apiError("store_unavailable",
                     "the billing ledger accepts no new records: its memory limit is reached, or neither a peer nor the store is reachable; retry later");
        co_return co_await this->refuse(std::move(error));
    }
    if (!this->takeRateToken()) {
        ApiError error = apiError("rate_limited", "the account has exceeded its limit of requests per second");
        co_return co_await this->refuse(std::move(error));
    }
    StepResult result = co_await this->execute(request.value(), choice.value(), deadline.value());
    co_return co_await this->finish(request.value(), std::move(result));
}

Outcome<ModelChoice, ApiError> ChatHandler::checkExplicitVersion(const Model &model, const std::string &version) const
{
    const ModelVersion *found = findVersion(model, version);
    if (found == nullptr || !isVersionAllowed(*this->account, model.name, version)) {
        return apiError("version_not_allowed", "the account may not use version '" + version + "' of '" + model.name + "'", RanStatus::No, "model");
    }
    if (found->state == VersionState::Withdrawn) {
        return apiError("version_not_allowed", "version '" + version + "' of '" + model.name + "' is withdrawn", RanStatus::No, "model");
    }
    return ModelChoice {model.name, version};
}

Outcome<ModelChoice, ApiError> ChatHandler::chooseModel(const ChatRequest &request) const
{
    const auto &models = this->snapshot->site().models;
    const auto found = models.find(request.model);
    if (found == models.end()) {
        return apiError("model_not_found", "there is no model '" + request.model + "'", RanStatus::No, "model");
    }
    if (!isModelAllowed(*this->account, request.model)) {
        return apiError("model_not_allowed", "the account may not use model '" + request.model + "'", RanStatus::No, "model");
    }
    if (!request.version.empty()) {
        return this->checkExplicitVersion(found->second, request.version);
    }
    // FIXME: Cascade steps are not executed one after the other yet; the last and most capable model answers directly.
    const std::string &name = found->second.cascade.empty() ? found->second.name : found->second.cascade.back();
    const auto model = models.find(name);
    const ModelVersion *version = model == models.end() ? nullptr : stableVersion(model->second);
    if (version == nullptr || !isVersionAllowed(*this->account, name, version->name)) {
        return apiError("version_not_allowed", "model '" + name + "' has no stable version that the account may use", RanStatus::No, "model");
    }
    return ModelChoice {name, version->name};
}

// FIXME: The rate limit applies per instance. Dividing it requires the number of instances from the membership.
bool ChatHandler::takeRateToken()
{
    const double rate = this->account->requestsPerSecond / this->worker.settings.trafficThreads;
    const RateLimit limit {rate, std::max(1.0, rate)};
    return takeToken(this->worker.rateLimits[this->account->name], limit, this->startedAt) == Duration::zero();
}

Asio::awaitable<Outcome<ModelChoice, ApiError>> ChatHandler::resolveModelChoice(const ChatRequest &request, MonotonicTime deadline)
{
    auto choice = this->chooseModel(request);
    const std::string value = headerValue(this->exchange.request().headers, "Godwitfork-Session");
    if (!choice || value.empty()) {
        co_return choice;
    }
    const auto header = parseSessionHeader(this->account->name, value, this->worker.settings.sessionKey);
    if (!header) {
        co_return apiError("invalid_request", header.error().message, RanStatus::No, "Godwitfork-Session");
    }
    auto result = co_await this->resolvePin(request, header.value(), choice.value());
    while (result && result.value().newerRevision) {
        const auto error = co_await this->waitForRevision(*result.value().newerRevision, deadline);
        if (error) {
            co_return *error;
        }
        choice = this->chooseModel(request);
        if (!choice) {
            co_return choice;
        }
        result = co_await this->resolvePin(request, header.value(), choice.value());
    }
    if (!result) {
        co_return result.error();
    }
    const SessionPin &pin = result.value().pin;
    this->metadata.session = makeSessionToken({this->account->name, header.value().id, request.model}, pin, this->worker.settings.sessionKey);
    this->metadata.sessionMovedFrom = result.value().movedFrom;
    co_return ModelChoice {pin.model, pin.version};
}

Asio::awaitable<Outcome<PinResult, ApiError>> ChatHandler::resolvePin(const ChatRequest &request, const SessionHeader &header, const ModelChoice &choice)
{
    PinRequest pinRequest;
    pinRequest.name = {this->account->name, header.id, request.model};
    if (header.hasPin() && header.requestedModel == request.model) {
        pinRequest.tokenPin = header.pin;
    }
    pinRequest.proposed = {choice.model, choice.version};
    pinRequest.revision = this->snapshot->revision();
    pinRequest.isInService = [snapshot = this->snapshot, account = *this->account](const SessionPin &pin) { return isInService(*snapshot, account, pin); };
    pinRequest.withdrawnPolicy = this->account->onWithdrawn == WithdrawalPolicy::Refuse ? WithdrawnPinPolicy::Refuse : WithdrawnPinPolicy::Replace;
    ControlPlane &control = this->worker.control;
    co_return co_await runOn(control.executionContext(), control.sessions().resolve(std::move(pinRequest)));
}

Asio::awaitable<std::optional<ApiError>> ChatHandler::waitForRevision(std::uint64_t revision, MonotonicTime deadline)
{
    const MonotonicTime limit = std::min(deadline, monotonicNow() + adoptionTimeout);
    Asio::steady_timer timer(this->worker.context);
    while (this->worker.snapshot->revision() < revision && monotonicNow() < limit) {
        timer.expires_after(adoptionPollInterval);
        co_await timer.async_wait(Asio::use_awaitable);
    }
    const SnapshotPointer newest = this->worker.snapshot;
    if (newest->revision() < revision) {
        logEvent(LogLevel::Warning, "session.behind", {{"request_id", this->metadata.requestId}, {"revision", newest->revision()}, {"needed", revision}});
        co_return apiError("not_ready", "the session is pinned under a configuration revision that this instance has not adopted yet; retry later");
    }
    const ClientAccount *currentAccount = newest->findAccountByKey(bearerKey(this->exchange.request().headers));
    if (currentAccount == nullptr) {
        co_return apiError("invalid_api_key", "the API key is no longer valid");
    }
    this->snapshot = newest;
    this->account = currentAccount;
    co_return std::nullopt;
}

Asio::awaitable<std::string> ChatHandler::refuse(ApiError error)
{
    logEvent(LogLevel::Info,
             "request.refused",
             {{"request_id", this->metadata.requestId}, {"account", this->account->name}, {"code", error.code}, {"ran", ranStatusName(error.ran)}});
    co_await this->exchange.respond(errorResponse(error, this->metadata.requestId));
    co_return error.code;
}

Asio::awaitable<StepResult> ChatHandler::execute(const ChatRequest &request, const ModelChoice &choice, MonotonicTime deadline)
{
    this->metadata.requestedModel = request.model;
    this->metadata.model = choice.model;
    this->metadata.version = choice.version;
    logEvent(LogLevel::Info,
             "request.started",
             {{"request_id", this->metadata.requestId},
              {"account", this->account->name},
              {"model", choice.model},
              {"version", choice.version},
              {"revision", this->snapshot->revision()}});
    OpenRequest open {this->metadata.requestId, this->account->name, this->worker.settings.site};
    Asio::post(this->worker.control.executionContext(), [&control = this->worker.control, open = std::move(open)] { control.ledger().open(open); });

    StepRequest step;
    step.requestId = this->metadata.requestId;
    step.model = choice.model;
    step.version = choice.version;
    step.account = this->account->name;
    step.priority = this->account->priority;
    step.route.length = jobLength(this->worker.settings.routing, request.expectedTokens);
    step.route.expectedTokens = request.expectedTokens;
    step.route.prefixHash = request.prefixHash;
    step.route.prefixTokens = request.prefixTokens;
    const EnginePriority priority = step.route.length == JobLength::Long ? EnginePriority::Low : EnginePriority::Normal;
    step.body = engineBody(request, choice.model + ":" + choice.version, priority);
    step.deadline = deadline;
    if (request.mode == ResponseMode::Streamed) {
        step.sink = [this](std::string text) { return this->forwardText(std::move(text)); };
    }
    co_return co_await runStep(this->worker, std::move(step));
}

Asio::awaitable<bool> ChatHandler::forwardText(std::string text)
{
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->worker.metrics.observeFirstByte(monotonicNow() - this->startedAt);
        HttpHeaders headers = leadingHeaders(this->metadata);
        headers.push_back({"Content-Type", "text/event-stream"});
        headers.push_back({"Cache-Control", "no-store"});
        const bool connected = co_await this->exchange.startStream(200, std::move(headers));
        if (!connected) {
            co_return false;
        }
    }
    co_return co_await this->exchange.writeChunk(deltaEvent(this->metadata, text));
}

Microunits ChatHandler::costOf(std::int64_t promptTokens, std::int64_t completionTokens) const
{
    const ModelVersion *version = findVersion(this->snapshot->site().models.at(this->metadata.model), this->metadata.version);
    return divideRoundingUp(promptTokens * version->promptPrice + completionTokens * version->completionPrice, tokensPerPriceUnit);
}

Asio::awaitable<void> ChatHandler::commitBillingRecord(const StepResult &result, RequestOutcome outcome)
{
    const Microunits cost = this->costOf(result.promptTokens, result.completionTokens);
    const Microunits discardedCost = this->costOf(result.discardedPromptTokens, result.discardedCompletionTokens);
    const bool charged = outcome == RequestOutcome::Completed || outcome == RequestOutcome::Aborted;
    BillingRecordBuilder builder;
    builder.requestId(this->metadata.requestId).account(this->account->name).site(this->worker.settings.site);
    builder.step({this->metadata.model, this->metadata.version, result.endpoint, result.promptTokens, result.completionTokens, cost});
    builder.outcome(outcome).amount(charged ? cost : 0).houseCost(charged ? discardedCost : cost + discardedCost).admitted(this->metadata.created);
    auto record = builder.build();
    if (!record) {
        logEvent(LogLevel::Error, "ledger.invalid_record", {{"request_id", this->metadata.requestId}, {"reason", record.error().message}});
        co_return;
    }
    ControlPlane &control = this->worker.control;
    co_await Asio::co_spawn(control.executionContext(), control.ledger().commit(std::move(record).value()), Asio::use_awaitable);
}

Asio::awaitable<std::string> ChatHandler::finishFailed(const StepResult &result)
{
    // A request that was not executed is not charged, so its error response does not wait for a durable billing record.
    if (result.error.ran == RanStatus::No) {
        std::string code = co_await this->refuse(result.error);
        co_await this->commitBillingRecord(result, RequestOutcome::Failed);
        co_return code;
    }
    co_await this->commitBillingRecord(result, RequestOutcome::Failed);
    if (!this->streamStarted) {
        co_return co_await this->refuse(result.error);
    }
    // The HTTP status has already been sent, so an error event and the missing end marker signal the incomplete answer.
    co_await this->exchange.writeChunk("data: " + errorBody(result.error, this->metadata.requestId) + "\n\n");
    this->exchange.abort();
    co_return result.error.code;
}

Asio::awaitable<std::string> ChatHandler::finish(const ChatRequest &request, StepResult result)
{
    if (result.outcome == StepOutcome::Failed) {
        co_return co_await this->finishFailed(result);
    }
    this->metadata.promptTokens = result.promptTokens;
    this->metadata.completionTokens = result.completionTokens;
    this->metadata.cost = this->costOf(result.promptTokens, result.completionTokens);
    const bool completed = result.outcome == StepOutcome::Completed;
    co_await this->commitBillingRecord(result, completed ? RequestOutcome::Completed : RequestOutcome::Aborted);
    logEvent(LogLevel::Info,
             "request.finished",
             {{"request_id", this->metadata.requestId},
              {"account", this->account->name},
              {"endpoint", result.endpoint},
              {"outcome", outcomeName(completed ? RequestOutcome::Completed : RequestOutcome::Aborted)},
              {"cost_microunits", this->metadata.cost}});
    if (!completed) {
        co_return "aborted";
    }
    if (request.mode == ResponseMode::Buffered) {
        this->worker.metrics.observeFirstByte(monotonicNow() - this->startedAt);
        co_await this->exchange.respond(bufferedResponse(this->metadata, result.text));
    } else {
        if (!this->streamStarted) {
            co_await this->forwardText("");
        }
        co_await this->exchange.writeChunk(endEvents(this->metadata));
        co_await this->exchange.finishStream();
    }
    this->worker.metrics.observeCompletion(monotonicNow() - this->startedAt);
    co_return "ok";
}

} // namespace Godwitfork
