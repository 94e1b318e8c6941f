#include "EngineStep.h"

#include "EngineStream.h"
#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int maxAttempts = 3;
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
/// Engines answer the header at once and send a heartbeat each second; longer silence means a lost connection.
constexpr Duration silenceLimit = std::chrono::seconds(3);

enum class AttemptOutcome { Completed, CallerGone, DeadlineExceeded, NotStarted, Broken };

/// Progress of one attempt on one endpoint.
struct Attempt {
    AttemptOutcome outcome = AttemptOutcome::Broken;
    std::string reason;
    std::string text;
    std::int64_t promptTokens = 0;
    std::int64_t deltas = 0;
    std::int64_t completionTokens = 0;
    double confidence = 0;
};

std::optional<EndpointTarget> chooseEndpoint(Worker &worker, const StepRequest &request, const std::set<std::string> &tried)
{
    const SnapshotPointer snapshot = worker.snapshot;
    const auto model = snapshot->site().models.find(request.model);
    const ModelVersion *version = model == snapshot->site().models.end() ? nullptr : findVersion(model->second, request.version);
    // A repeated attempt is new work too, so it checks the version against the newest revision.
    if (version == nullptr || version->state == VersionState::Withdrawn) {
        return std::nullopt;
    }
    std::vector<EndpointTarget> candidates;
    for (const EndpointTarget &endpoint : snapshot->endpointsOf(request.model + ":" + request.version)) {
        if (!tried.contains(endpoint.name)) {
            candidates.push_back(endpoint);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    return candidates[pick(worker.random)];
}

HttpRequest engineRequest(const StepRequest &request)
{
    HttpHeaders headers {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}, {"X-Request-Id", request.requestId}};
    return makeRequest("POST", "/v1/chat/completions", request.body, std::move(headers));
}

HttpCallOptions engineOptions(MonotonicTime deadline)
{
    const Duration left = std::max<Duration>(deadline - monotonicNow(), std::chrono::milliseconds(1));
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, left);
    options.answerTimeout = std::min(silenceLimit, left);
    options.idleTimeout = silenceLimit;
    return options;
}

// An engine that refuses did not start the request. Statuses of a gateway in between prove nothing.
AttemptOutcome outcomeOfRefusal(int status)
{
    return status >= 400 && status < 500 ? AttemptOutcome::NotStarted : AttemptOutcome::Broken;
}

Asio::awaitable<void> readAnswer(const StepRequest &request, EngineStream &stream, Attempt &attempt)
{
    while (true) {
        auto next = co_await stream.next();
        if (!next) {
            attempt.reason = next.error().message;
            attempt.outcome = AttemptOutcome::Broken;
            co_return;
        }
        const EngineChunk &chunk = next.value();
        if (chunk.kind == EngineChunkKind::End) {
            attempt.outcome = AttemptOutcome::Completed;
            co_return;
        }
        if (chunk.kind == EngineChunkKind::Usage) {
            attempt.promptTokens = chunk.promptTokens;
            attempt.completionTokens = chunk.completionTokens;
            attempt.confidence = chunk.confidence;
        }
        if (monotonicNow() > request.deadline) {
            attempt.outcome = AttemptOutcome::DeadlineExceeded;
            co_return;
        }
        if (chunk.kind == EngineChunkKind::Text) {
            ++attempt.deltas;
            attempt.text += chunk.text;
            if (request.sink) {
                const bool connected = co_await request.sink(chunk.text);
                if (!connected) {
                    attempt.outcome = AttemptOutcome::CallerGone;
                    co_return;
                }
            }
        }
    }
}

Asio::awaitable<Attempt> runAttempt(Worker &worker, const StepRequest &request, const EndpointTarget &endpoint)
{
    Attempt attempt;
    const HttpCallOptions options = engineOptions(request.deadline);
    auto opened = co_await worker.client.open(endpoint.address, engineRequest(request), options);
    if (!opened) {
        attempt.reason = opened.error().message;
        attempt.outcome = opened.error().phase == SendPhase::NotSent ? AttemptOutcome::NotStarted : AttemptOutcome::Broken;
        co_return attempt;
    }
    const int status = opened.value()->status();
    if (status != 200) {
        attempt.reason = "the endpoint answered with status " + std::to_string(status);
        attempt.outcome = outcomeOfRefusal(status);
        co_return attempt;
    }
    if (headerValue(opened.value()->headers(), "X-Request-Id") != request.requestId) {
        attempt.reason = "the endpoint answered another request";
        co_return attempt;
    }
    EngineStream stream(std::move(opened).value());
    co_await readAnswer(request, stream, attempt);
    co_return attempt;
}

ApiError attemptError(const Attempt &attempt, Ran ran)
{
    if (attempt.outcome == AttemptOutcome::DeadlineExceeded) {
        return apiError("deadline_exceeded", "the deadline passed before the answer was complete", ran);
    }
    return apiError("endpoint_failed", "no endpoint completed the request: " + attempt.reason, ran);
}

StepResult finished(const EndpointTarget &endpoint, Attempt attempt, StepResult result)
{
    result.outcome = attempt.outcome == AttemptOutcome::Completed ? StepOutcome::Completed : StepOutcome::CallerGone;
    result.endpoint = endpoint.name;
    result.text = std::move(attempt.text);
    result.promptTokens = attempt.promptTokens;
    // Without a usage report the pieces received are the best count: engines send one token a piece.
    result.completionTokens = attempt.outcome == AttemptOutcome::Completed ? attempt.completionTokens : attempt.deltas;
    result.confidence = attempt.confidence;
    return result;
}
} // namespace

Asio::awaitable<StepResult> runStep(Worker &worker, StepRequest request)
{
    StepResult result;
    std::set<std::string> tried;
    Ran ran = Ran::No;
    result.error = apiError("no_endpoint", "no endpoint serves " + request.model + ":" + request.version);
    for (int number = 0; number < maxAttempts; ++number) {
        const auto endpoint = chooseEndpoint(worker, request, tried);
        if (!endpoint) {
            break;
        }
        tried.insert(endpoint->name);
        Attempt attempt = co_await runAttempt(worker, request, *endpoint);
        if (attempt.outcome == AttemptOutcome::Completed || attempt.outcome == AttemptOutcome::CallerGone) {
            co_return finished(*endpoint, std::move(attempt), std::move(result));
        }
        logEvent(LogLevel::Warning, "step.attempt_failed", {{"request_id", request.requestId}, {"endpoint", endpoint->name}, {"reason", attempt.reason}});
        if (attempt.outcome != AttemptOutcome::NotStarted) {
            ran = attempt.deltas > 0 ? Ran::Yes : std::max(ran, Ran::Unknown);
        }
        result.lostCompletionTokens += attempt.deltas;
        result.error = attemptError(attempt, ran);
        const bool textDelivered = request.sink && attempt.deltas > 0;
        // FIXME: A broken stream whose text has reached the caller ends with an error; engines that resume a stream by
        // position are not used yet.
        if (textDelivered || attempt.outcome == AttemptOutcome::DeadlineExceeded || monotonicNow() > request.deadline) {
            break;
        }
    }
    co_return result;
}

} // namespace Godwitfork
