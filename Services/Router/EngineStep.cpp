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

/// Scope guard that releases the slot of an admitted step.
class AdmissionSlot
{
public:
    explicit AdmissionSlot(std::shared_ptr<PoolAdmissionController> controller) : controller(std::move(controller))
    {
    }
    ~AdmissionSlot()
    {
        if (this->controller) {
            this->controller->releaseSlot();
        }
    }
    AdmissionSlot(const AdmissionSlot &) = delete;
    AdmissionSlot &operator=(const AdmissionSlot &) = delete;

private:
    std::shared_ptr<PoolAdmissionController> controller;
};

std::optional<EndpointIndex> chooseTarget(Worker &worker, const StepRequest &request, const std::vector<EndpointIndex> &tried)
{
    const SnapshotPointer snapshot = worker.snapshot;
    const auto model = snapshot->site().models.find(request.model);
    const ModelVersion *version = model == snapshot->site().models.end() ? nullptr : findVersion(model->second, request.version);
    // Each attempt, also a retry, checks the version against the newest configuration revision.
    if (version == nullptr || version->state == VersionState::Withdrawn) {
        return std::nullopt;
    }
    RouteRequest route = request.route;
    route.excluded = tried;
    return chooseServingEndpoint(worker.pool, request.model + ":" + request.version, route, monotonicNow(), worker.random);
}

ApiError attemptError(const Attempt &attempt, RanStatus ran)
{
    if (attempt.outcome == AttemptOutcome::DeadlineExceeded) {
        return apiError("deadline_exceeded", "the deadline passed before the answer was complete", ran);
    }
    if (attempt.fault == AttemptFault::Exhausted) {
        return apiError("overloaded", "the endpoints reported that they are at capacity; retry later", ran);
    }
    return apiError("endpoint_failed", "no endpoint completed the request: " + attempt.reason, ran);
}

StepResult finishedResult(std::string endpoint, Attempt attempt, StepResult result)
{
    result.outcome = attempt.outcome == AttemptOutcome::Completed ? StepOutcome::Completed : StepOutcome::CallerGone;
    result.endpoint = std::move(endpoint);
    result.text = std::move(attempt.text);
    result.promptTokens = attempt.promptTokens;
    // Without a usage report the number of chunks is the best estimate, because engines send one token per chunk.
    result.completionTokens = attempt.outcome == AttemptOutcome::Completed ? attempt.completionTokens : attempt.textChunks;
    result.confidence = attempt.confidence;
    return result;
}

/// Whether the failed attempt may be retried; if so, takes the retry from the budget of the account.
bool tryTakeRetry(Worker &worker, const StepRequest &request, const Attempt &attempt)
{
    if (attempt.outcome == AttemptOutcome::DeadlineExceeded) {
        return false;
    }
    // FIXME: A stream that breaks after text has reached the caller ends with an error, because resuming a stream at a
    // position is not supported yet.
    if (actionAfterFailure(CallKind::Idempotent, attempt.progress, StreamResumption::Unsupported) == FailureAction::Fail) {
        return false;
    }
    const MonotonicTime now = monotonicNow();
    return attemptTimeout(request.deadline, now, Duration::max()).has_value() && takeRetry(worker.retryBudgets[request.account], now);
}

RanStatus ranStatusAfter(const Attempt &attempt, RanStatus before)
{
    if (!mayHaveRun(attempt.progress)) {
        return before;
    }
    return attempt.textChunks > 0 ? RanStatus::Yes : std::max(before, RanStatus::Unknown);
}

Asio::awaitable<StepResult> runAttempts(Worker &worker, const StepRequest &request, PoolAdmissionController &controller)
{
    StepResult result;
    std::vector<EndpointIndex> tried;
    RanStatus ran = RanStatus::No;
    result.error = apiError("no_endpoint", "no available endpoint serves " + request.model + ":" + request.version);
    for (int attemptNumber = 0; attemptNumber < maxAttempts; ++attemptNumber) {
        const auto endpoint = chooseTarget(worker, request, tried);
        if (!endpoint) {
            break;
        }
        tried.push_back(*endpoint);
        const std::string name = worker.pool.targets[*endpoint].name;
        Attempt attempt = co_await runAttempt(worker, request, *endpoint);
        if (attempt.outcome == AttemptOutcome::Completed || attempt.outcome == AttemptOutcome::CallerGone) {
            co_return finishedResult(name, std::move(attempt), std::move(result));
        }
        logEvent(LogLevel::Warning, "step.attempt_failed", {{"request_id", request.requestId}, {"endpoint", name}, {"reason", attempt.reason}});
        if (attempt.fault == AttemptFault::Exhausted) {
            controller.recordEndpointExhaustion();
        }
        ran = ranStatusAfter(attempt, ran);
        result.discardedCompletionTokens += attempt.textChunks;
        result.error = attemptError(attempt, ran);
        if (!tryTakeRetry(worker, request, attempt)) {
            break;
        }
    }
    co_return result;
}
} // namespace

Asio::awaitable<StepResult> runStep(Worker &worker, StepRequest request)
{
    recordRequest(worker.retryBudgets[request.account], monotonicNow());
    const std::shared_ptr<PoolAdmissionController> controller = worker.findOrCreateAdmissionController(request.model + ":" + request.version);
    if (worker.settings.admission == AdmissionControl::Off) {
        co_return co_await runAttempts(worker, request, *controller);
    }
    const AdmissionOutcome outcome = co_await controller->acquireSlot(request.priority, request.deadline);
    StepResult refused;
    if (outcome == AdmissionOutcome::Overloaded) {
        refused.error = apiError("overloaded", "the pool is overloaded and no slot is expected to become free in time; retry later");
        co_return refused;
    }
    if (outcome == AdmissionOutcome::DeadlineExceeded) {
        refused.error = apiError("deadline_exceeded", "the deadline passed while the request was queued for a slot of the pool");
        co_return refused;
    }
    const AdmissionSlot slot(controller);
    co_return co_await runAttempts(worker, request, *controller);
}

} // namespace Godwitfork
