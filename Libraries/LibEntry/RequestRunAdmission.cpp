#include "LibCore/Log.h"
#include "LibEntry/RequestRun.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Number of other endpoints that are tried if the chosen one cannot serve a request in its time. The choice already prefers endpoints with a short wait.
constexpr int alternativeEndpoints = 2;
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(1200);
} // namespace

AdmissionRequest RequestRun::admissionRequest(const AttemptInProgress &next) const
{
    AdmissionRequest request;
    request.service = this->service;
    request.kind = this->route->name;
    request.priority = this->account ? this->account->priority.value_or(this->route->priority) : this->route->priority;
    request.objective = this->route->latencyObjective;
    request.untilObjective = this->timeToObjective();
    request.remaining = this->remaining();
    request.work = next.choice.promptTime;
    request.nominalFirstOutput = next.choice.nominalFirstOutput;
    request.firstOutput = next.choice.firstOutput;
    request.observedWait = this->state.chooser.loads().meanPromptWait(this->service, monotonicNow());
    if (next.query.model.empty()) {
        request.parallel = next.choice.endpoint.slots;
    } else if (isStream(this->route->repeatRule)) {
        // Without the caller's estimate the output may be short.
        const std::int64_t output = this->gatewayRequest.expectedOutputTokens.value_or(0);
        request.outputTime = this->state.chooser.speeds().outputTime(this->service, next.query.model, output);
    }
    return request;
}

bool RequestRun::admit(AttemptInProgress &next, const std::vector<const EndpointEntry *> &endpoints)
{
    if (!this->state.settings.controlsOverload) {
        return true;
    }
    AdmissionRequest request = this->admissionRequest(next);
    ChoiceQuery query = next.query;
    for (int i = 0; i < alternativeEndpoints && OverloadControl::missesDeadline(request); ++i) {
        query.excluded.insert(next.choice.endpoint.id);
        auto other = this->state.chooser.choose(endpoints, query, monotonicNow(), this->state.random);
        if (!other) {
            break;
        }
        next.choice = std::move(*other);
        request = this->admissionRequest(next);
    }
    const MonotonicTime now = monotonicNow();
    if (!std::exchange(this->isDemandRecorded, true)) {
        this->state.overload.recordDemand(request, now);
    }
    const PoolKind kind = next.query.model.empty() ? PoolKind::Plain : PoolKind::Engines;
    const AdmissionDecision decision = this->state.overload.decide(request, {endpoints, this->state.chooser.loads(), kind}, now);
    // An instance that stops holds nothing back.
    this->isDeferred = decision.outcome == AdmissionOutcome::Deferred && !this->state.stop;
    if (!this->isDeferred || this->deferredFor == Duration::zero()) {
        this->state.overload.count(request.kind, decision.outcome);
        if (decision.outcome != AdmissionOutcome::Admitted) {
            this->logAdmission(request, decision);
        }
    }
    if (isRefusal(decision.outcome)) {
        this->reason = admissionOutcomeName(decision.outcome);
        return false;
    }
    return !this->isDeferred;
}

// The request is not sent meanwhile, so a caller that leaves or an instance that stops loses nothing.
Asio::awaitable<bool> RequestRun::startAttemptInTurn()
{
    while (!this->startAttempt()) {
        if (!std::exchange(this->isDeferred, false)) {
            co_return false;
        }
        const Duration delay = OverloadControl::recheckDelay(this->state.random);
        Asio::steady_timer timer(this->context.context, delay);
        co_await timer.async_wait(Asio::use_awaitable);
        this->deferredFor += delay;
        if (this->caller->gone) {
            this->reason = "caller_gone";
            co_return false;
        }
    }
    co_return true;
}

// Jitter keeps refused callers from retrying at the same time.
Duration RequestRun::retryDelay()
{
    std::uniform_int_distribution<std::int64_t> delay(minRetryDelay.count(), maxRetryDelay.count());
    return Duration(delay(this->state.random));
}

void RequestRun::logAdmission(const AdmissionRequest &request, const AdmissionDecision &decision) const
{
    const MonotonicTime now = monotonicNow();
    if (!this->state.overloadLog.tryTake(LogImportance::Routine, now)) {
        return;
    }
    const Duration age = this->state.chooser.loads().summaryAge(now);
    logEvent(LogLevel::Info,
             "overload.decision",
             {{"request", this->gatewayRequest.id},
              {"route", request.kind},
              {"account", this->account ? this->account->name : std::string()},
              {"priority", request.priority},
              {"outcome", admissionOutcomeName(decision.outcome)},
              {"expected_ms", toMilliseconds(request.firstOutput)},
              {"nominal_ms", toMilliseconds(request.nominalFirstOutput)},
              {"observed_wait_ms", toMilliseconds(request.observedWait)},
              {"output_ms", toMilliseconds(request.outputTime)},
              {"objective_ms", toMilliseconds(request.untilObjective)},
              {"remaining_ms", toMilliseconds(request.remaining)},
              {"places", decision.view.places},
              {"taken", decision.view.taken},
              {"least_wait_ms", toMilliseconds(decision.view.leastWait)},
              {"mean_wait_ms", toMilliseconds(decision.view.meanWait)},
              {"summary_age_ms", age == Duration::max() ? -1 : toMilliseconds(age)},
              {"unlogged", this->state.overloadLog.takeDropped()}});
}

} // namespace Godwitfork
