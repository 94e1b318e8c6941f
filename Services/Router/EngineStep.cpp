#include "EngineStep.h"

#include "EngineAttempt.h"
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

/// A place at a pool, given back at the end of the step.
class GatePlace
{
public:
    explicit GatePlace(std::shared_ptr<PoolGate> gate) : gate(std::move(gate))
    {
    }
    ~GatePlace()
    {
        if (this->gate) {
            this->gate->leave();
        }
    }
    GatePlace(const GatePlace &) = delete;
    GatePlace &operator=(const GatePlace &) = delete;

private:
    std::shared_ptr<PoolGate> gate;
};

std::optional<EndpointIndex> chooseTarget(Worker &worker, const StepRequest &request, const std::vector<EndpointIndex> &tried)
{
    const SnapshotPointer snapshot = worker.snapshot;
    const auto model = snapshot->site().models.find(request.model);
    const ModelVersion *version = model == snapshot->site().models.end() ? nullptr : findVersion(model->second, request.version);
    // A repeated attempt is new work too, so it checks the version against the newest revision.
    if (version == nullptr || version->state == VersionState::Withdrawn) {
        return std::nullopt;
    }
    RouteRequest route = request.route;
    route.excluded = tried;
    return chooseServing(worker.pool, request.model + ":" + request.version, route, monotonicNow(), worker.random);
}

ApiError attemptError(const Attempt &attempt, Ran ran)
{
    if (attempt.outcome == AttemptOutcome::DeadlineExceeded) {
        return apiError("deadline_exceeded", "the deadline passed before the answer was complete", ran);
    }
    if (attempt.fault == AttemptFault::Exhausted) {
        return apiError("overloaded", "the endpoints have no free places; try again later", ran);
    }
    return apiError("endpoint_failed", "no endpoint completed the request: " + attempt.reason, ran);
}

StepResult finished(std::string endpoint, Attempt attempt, StepResult result)
{
    result.outcome = attempt.outcome == AttemptOutcome::Completed ? StepOutcome::Completed : StepOutcome::CallerGone;
    result.endpoint = std::move(endpoint);
    result.text = std::move(attempt.text);
    result.promptTokens = attempt.promptTokens;
    // Without a usage report the pieces received are the best count: engines send one token a piece.
    result.completionTokens = attempt.outcome == AttemptOutcome::Completed ? attempt.completionTokens : attempt.deltas;
    result.confidence = attempt.confidence;
    return result;
}

bool mayRetry(Worker &worker, const StepRequest &request, const Attempt &attempt)
{
    if (attempt.outcome == AttemptOutcome::DeadlineExceeded) {
        return false;
    }
    // FIXME: A broken stream whose text has reached the caller ends with an error; engines that resume a stream by
    // position are not used yet.
    if (actionAfterFailure(CallKind::Idempotent, attempt.progress, StreamResumption::Unsupported) == FailureAction::Fail) {
        return false;
    }
    const MonotonicTime now = monotonicNow();
    return attemptTimeout(request.deadline, now, Duration::max()).has_value() && takeRetry(worker.retryBudgets[request.account], now);
}

Ran ranAfter(const Attempt &attempt, Ran before)
{
    if (!mayHaveRun(attempt.progress)) {
        return before;
    }
    return attempt.deltas > 0 ? Ran::Yes : std::max(before, Ran::Unknown);
}

Asio::awaitable<StepResult> runAttempts(Worker &worker, const StepRequest &request, PoolGate &gate)
{
    StepResult result;
    std::vector<EndpointIndex> tried;
    Ran ran = Ran::No;
    result.error = apiError("no_endpoint", "no endpoint serves " + request.model + ":" + request.version);
    for (int number = 0; number < maxAttempts; ++number) {
        const auto endpoint = chooseTarget(worker, request, tried);
        if (!endpoint) {
            break;
        }
        tried.push_back(*endpoint);
        const std::string name = worker.pool.targets[*endpoint].name;
        Attempt attempt = co_await runAttempt(worker, request, *endpoint);
        if (attempt.outcome == AttemptOutcome::Completed || attempt.outcome == AttemptOutcome::CallerGone) {
            co_return finished(name, std::move(attempt), std::move(result));
        }
        logEvent(LogLevel::Warning, "step.attempt_failed", {{"request_id", request.requestId}, {"endpoint", name}, {"reason", attempt.reason}});
        if (attempt.fault == AttemptFault::Exhausted) {
            gate.endpointExhausted();
        }
        ran = ranAfter(attempt, ran);
        result.lostCompletionTokens += attempt.deltas;
        result.error = attemptError(attempt, ran);
        if (!mayRetry(worker, request, attempt)) {
            break;
        }
    }
    co_return result;
}
} // namespace

Asio::awaitable<StepResult> runStep(Worker &worker, StepRequest request)
{
    recordRequest(worker.retryBudgets[request.account], monotonicNow());
    const std::shared_ptr<PoolGate> gate = worker.gateOf(request.model + ":" + request.version);
    if (worker.settings.admission == AdmissionControl::Off) {
        co_return co_await runAttempts(worker, request, *gate);
    }
    const GateOutcome outcome = co_await gate->enter(request.priority, request.deadline);
    StepResult refused;
    if (outcome == GateOutcome::Overloaded) {
        refused.error = apiError("overloaded", "the pool has no free place in time; try again later");
        co_return refused;
    }
    if (outcome == GateOutcome::DeadlineExceeded) {
        refused.error = apiError("deadline_exceeded", "the deadline passed before the pool had a free place");
        co_return refused;
    }
    const GatePlace place(gate);
    co_return co_await runAttempts(worker, request, *gate);
}

} // namespace Godwitfork
