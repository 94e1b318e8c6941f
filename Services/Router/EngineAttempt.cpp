#include "EngineAttempt.h"

#include "EngineStream.h"

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
/// Engines answer the header at once and send a heartbeat each second; longer silence means a lost connection.
constexpr Duration silenceLimit = std::chrono::seconds(3);
constexpr int statusOk = 200;
constexpr int statusExhausted = 429;
/// Pace is observed over several tokens, since single tokens arrive in bursts.
constexpr int tokensPerObservation = 8;

/// Work of one attempt in the endpoint table, from its start to its end.
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

    /// The first token's time holds the prefill and says nothing about the pace.
    void tokenArrived(Duration waited)
    {
        ++this->tokens;
        if (this->tokens == 1) {
            return;
        }
        this->elapsed += waited;
        if (++this->unobserved == tokensPerObservation) {
            recordProgress(this->table, this->dispatch, this->unobserved, this->elapsed, monotonicNow());
            this->unobserved = 0;
            this->elapsed = {};
        }
    }

private:
    EndpointTable &table;
    Dispatch dispatch;
    int tokens = 0;
    int unobserved = 0;
    Duration elapsed {};
};

HttpRequest engineRequest(const StepRequest &request)
{
    HttpHeaders headers {{"Content-Type", "application/json"}, {"Accept", "text/event-stream"}, {"X-Request-Id", request.requestId}};
    return makeRequest("POST", "/v1/chat/completions", request.body, std::move(headers));
}

HttpCallOptions engineOptions(Duration left)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, left);
    options.responseTimeout = std::min(silenceLimit, left);
    options.idleTimeout = silenceLimit;
    return options;
}

// An engine that refuses did not start the request. Statuses of a gateway in between prove nothing.
void takeRefusal(Attempt &attempt, int status)
{
    attempt.reason = "the endpoint answered with status " + std::to_string(status);
    if (status >= 400 && status < 500) {
        attempt.progress = RequestProgress::NotStarted;
    }
    attempt.fault = status == statusExhausted ? AttemptFault::Exhausted : AttemptFault::Endpoint;
}

void takeFirstByte(Worker &worker, const StepRequest &request, Duration elapsed)
{
    // Low-priority jobs wait by design, so their first byte says nothing about the pool's load.
    if (request.route.length == JobLength::Short) {
        worker.gateOf(request.model + ":" + request.version)->firstByteArrived(elapsed);
    }
}

Asio::awaitable<void> readAnswer(Worker &worker, const StepRequest &request, EngineStream &stream, OutstandingRequest &outstanding, Attempt &attempt)
{
    const MonotonicTime started = monotonicNow();
    MonotonicTime asked = started;
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
            if (++attempt.deltas == 1) {
                takeFirstByte(worker, request, now - started);
            }
            outstanding.tokenArrived(now - asked);
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
        // Time that the caller took to accept the text is not the endpoint's.
        asked = monotonicNow();
    }
}

Asio::awaitable<void> callEngine(Worker &worker, const StepRequest &request, EndpointIndex endpoint, Duration left, Attempt &attempt)
{
    OutstandingRequest outstanding(worker.pool.table, endpoint, request.route);
    const HttpAddress address = worker.pool.targets[endpoint].address;
    const HttpCallOptions options = engineOptions(left);
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
        takeRefusal(attempt, status);
        co_return;
    }
    if (headerValue(opened.value()->headers(), "X-Request-Id") != request.requestId) {
        attempt.reason = "the endpoint answered another request";
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
    const auto left = attemptTimeout(request.deadline, monotonicNow(), Duration::max());
    if (!left) {
        attempt.outcome = AttemptOutcome::DeadlineExceeded;
        co_return attempt;
    }
    co_await callEngine(worker, request, endpoint, *left, attempt);
    if (attempt.outcome == AttemptOutcome::Completed) {
        recordSuccess(worker.pool.table, endpoint);
    } else if (attempt.fault == AttemptFault::Endpoint && monotonicNow() > request.deadline) {
        // A short deadline ends an attempt that the endpoint might have completed.
        attempt.outcome = AttemptOutcome::DeadlineExceeded;
    } else if (attempt.fault == AttemptFault::Endpoint) {
        recordFailure(worker.pool.table, endpoint, monotonicNow());
    }
    co_return attempt;
}

} // namespace Godwitfork
