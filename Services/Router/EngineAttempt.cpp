#include "EngineAttempt.h"

#include "EngineStream.h"

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
/// Engines send the response header immediately and then a heartbeat every second, so a longer gap means a lost connection.
constexpr Duration engineIdleTimeout = std::chrono::seconds(3);
constexpr int statusOk = 200;
constexpr int statusExhausted = 429;
/// The token rate is measured over several tokens, because tokens arrive in bursts.
constexpr int tokensPerProgressReport = 8;

/// Scope guard that registers the expected work of an attempt in the endpoint table and reports its progress.
class OutstandingRequest
{
public:
    OutstandingRequest(EndpointTable &table, EndpointIndex endpoint, const RouteRequest &route)
        : table(table), dispatch(startRequest(table, endpoint, route.length, route.expectedTokens))
    {
    }
    ~OutstandingRequest()
    {
        finishRequest(this->table, this->dispatch);
    }
    OutstandingRequest(const OutstandingRequest &) = delete;
    OutstandingRequest &operator=(const OutstandingRequest &) = delete;

    /// Records the arrival of a token after `waited`. The first token is excluded, because its time includes the prefill.
    void recordToken(Duration waited)
    {
        ++this->tokenCount;
        if (this->tokenCount == 1) {
            return;
        }
        this->unreportedTime += waited;
        if (++this->unreportedTokens == tokensPerProgressReport) {
            recordProgress(this->table, this->dispatch, this->unreportedTokens, this->unreportedTime, monotonicNow());
            this->unreportedTokens = 0;
            this->unreportedTime = {};
        }
    }

private:
    EndpointTable &table;
    Dispatch dispatch;
    int tokenCount = 0;
    int unreportedTokens = 0;
    Duration unreportedTime {};
};

HttpRequest engineRequest(const StepRequest &request)
{
    HttpHeaders headers {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}, {"X-Request-Id", request.requestId}};
    return makeRequest("POST", "/v1/chat/completions", request.body, std::move(headers));
}

HttpCallOptions engineOptions(Duration remaining)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, remaining);
    options.responseTimeout = std::min(engineIdleTimeout, remaining);
    options.idleTimeout = engineIdleTimeout;
    return options;
}

// An engine that refuses a request with a 4xx status has not started it. Other statuses may come from a gateway in
// between and do not prove this.
void recordRefusal(Attempt &attempt, int status)
{
    attempt.reason = "the endpoint returned status " + std::to_string(status);
    if (status >= 400 && status < 500) {
        attempt.progress = RequestProgress::NotStarted;
    }
    attempt.fault = status == statusExhausted ? AttemptFault::Exhausted : AttemptFault::Endpoint;
}

void recordFirstByteTime(Worker &worker, const StepRequest &request, Duration elapsed)
{
    // Long jobs run with low priority and are queued by the engine, so their time to first byte does not reflect pool load.
    if (request.route.length == JobLength::Short) {
        worker.findOrCreateAdmissionController(request.model + ":" + request.version)->recordFirstByte(elapsed);
    }
}

Asio::awaitable<void> readAnswer(Worker &worker, const StepRequest &request, EngineStream &stream, OutstandingRequest &outstanding, Attempt &attempt)
{
    const MonotonicTime started = monotonicNow();
    MonotonicTime waitStartedAt = started;
    while (true) {
        auto next = co_await stream.next();
        const MonotonicTime now = monotonicNow();
        if (!next) {
            attempt.reason = next.error().message;
            attempt.fault = AttemptFault::Endpoint;
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
        if (now > request.deadline) {
            attempt.outcome = AttemptOutcome::DeadlineExceeded;
            co_return;
        }
        if (chunk.kind == EngineChunkKind::Text) {
            if (++attempt.textChunks == 1) {
                recordFirstByteTime(worker, request, now - started);
            }
            outstanding.recordToken(now - waitStartedAt);
            attempt.text += chunk.text;
            if (request.sink) {
                attempt.progress = RequestProgress::Answering;
                const bool connected = co_await request.sink(chunk.text);
                if (!connected) {
                    attempt.outcome = AttemptOutcome::CallerGone;
                    co_return;
                }
            }
        }
        // Excludes the time that the caller took to accept the text from the endpoint's token rate.
        waitStartedAt = monotonicNow();
    }
}

Asio::awaitable<void> callEngine(Worker &worker, const StepRequest &request, EndpointIndex endpoint, Duration remaining, Attempt &attempt)
{
    OutstandingRequest outstanding(worker.pool.table, endpoint, request.route);
    const HttpAddress address = worker.pool.targets[endpoint].address;
    const HttpCallOptions options = engineOptions(remaining);
    auto opened = co_await worker.client.open(address, engineRequest(request), options);
    if (!opened) {
        attempt.reason = opened.error().message;
        attempt.fault = AttemptFault::Endpoint;
        attempt.progress = opened.error().phase == SendPhase::NotSent ? RequestProgress::NotSent : RequestProgress::Dispatched;
        co_return;
    }
    attempt.progress = RequestProgress::Dispatched;
    const int status = opened.value()->status();
    if (status != statusOk) {
        recordRefusal(attempt, status);
        co_return;
    }
    if (headerValue(opened.value()->headers(), "X-Request-Id") != request.requestId) {
        attempt.reason = "the X-Request-Id of the response does not match the request";
        attempt.fault = AttemptFault::Endpoint;
        co_return;
    }
    EngineStream stream(std::move(opened).value());
    co_await readAnswer(worker, request, stream, outstanding, attempt);
}
} // namespace

Asio::awaitable<Attempt> runAttempt(Worker &worker, const StepRequest &request, EndpointIndex endpoint)
{
    Attempt attempt;
    const auto remaining = attemptTimeout(request.deadline, monotonicNow(), Duration::max());
    if (!remaining) {
        attempt.outcome = AttemptOutcome::DeadlineExceeded;
        co_return attempt;
    }
    co_await callEngine(worker, request, endpoint, *remaining, attempt);
    if (attempt.outcome == AttemptOutcome::Completed) {
        recordSuccess(worker.pool.table, endpoint);
    } else if (attempt.fault == AttemptFault::Endpoint && monotonicNow() > request.deadline) {
        // The deadline cut the attempt short, so the failure does not count against the endpoint.
        attempt.outcome = AttemptOutcome::DeadlineExceeded;
    } else if (attempt.fault == AttemptFault::Endpoint) {
        recordFailure(worker.pool.table, endpoint, monotonicNow());
    }
    co_return attempt;
}

} // namespace Godwitfork
