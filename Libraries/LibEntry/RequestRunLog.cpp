#include "LibCore/Log.h"
#include "LibEntry/RequestRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

void RequestRun::logAttempt(const AttemptOutcome &outcome, NextStep step) const
{
    if (step == NextStep::Deliver && outcome.end == AttemptEnd::Answered && isSuccess(outcome.answer)) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    const EndpointLoad &load = this->state.chooser.loads().find(this->currentAttempt->choice.endpoint.id);
    const ObservationSum failures = load.fleetFailures(now);
    const Duration sinceOutput = load.sinceFleetOutput(now);
    logEvent(LogLevel::Warning,
             "attempt.failed",
             {{"request", this->gatewayRequest.id},
              {"endpoint", this->currentAttempt->choice.endpoint.id},
              {"model", this->currentAttempt->query.model},
              {"end", attemptEndName(outcome.end)},
              {"status", outcome.answer.status},
              {"not_run", outcome.answer.notRun},
              {"detail", this->reason},
              {"version", this->currentAttempt->choice.endpoint.version},
              {"elapsed_ms", toMilliseconds(now - this->currentAttempt->started)},
              {"remaining_ms", toMilliseconds(this->remaining())},
              {"endpoint_output_age_ms", sinceOutput == Duration::max() ? -1 : toMilliseconds(sinceOutput)},
              {"possible_runs", this->progress.possibleRuns},
              {"recent_failures", failures.sum},
              {"recent_answers", failures.weight},
              {"next", nextStepName(step)}});
}

void RequestRun::logUnavailable() const
{
    this->logColdEndpoints();
    const MonotonicTime now = monotonicNow();
    for (const EndpointEntry *endpoint : this->state.endpoints.ready(this->service)) {
        const auto announced = this->state.announcements.states().find(endpoint->id);
        const Duration time = this->state.announcements.timeToRequest(endpoint->id, endpoint->incarnation, now);
        if (announced == this->state.announcements.states().end() || time == Duration::zero()) {
            continue;
        }
        logEvent(LogLevel::Warning,
                 "attempt.unavailable",
                 {{"request", this->gatewayRequest.id},
                  {"endpoint", endpoint->id},
                  {"per_second", announced->second.requestsPerSecond.value_or(-1)},
                  {"limit_age_ms", toMilliseconds(now - announced->second.observedAt)},
                  {"rank", announced->second.rank.value_or(-1)},
                  {"is_leaving", announced->second.leavingSince.has_value()},
                  {"closed_ms", std::max<std::int64_t>(0, toMilliseconds(announced->second.closedUntil - now))},
                  {"wait_ms", time == Duration::max() ? -1 : toMilliseconds(time)}});
    }
}

void RequestRun::logSilence(const StallEvidence &evidence, const char *action, RetryObstacle obstacle)
{
    const RetryUse use = retryUse(this->state.retryBudget(this->service), monotonicNow());
    const bool isOutputKnown = evidence.sinceEndpointOutput != Duration::max();
    logEvent(LogLevel::Warning,
             "attempt.silent",
             {{"request", this->gatewayRequest.id},
              {"endpoint", this->currentAttempt->choice.endpoint.id},
              {"action", action},
              {"obstacle", retryObstacleName(obstacle)},
              {"silence_ms", toMilliseconds(evidence.silence)},
              {"limit_ms", toMilliseconds(stallTimeout(evidence, this->stallLimits()))},
              {"endpoint_output_age_ms", isOutputKnown ? toMilliseconds(evidence.sinceEndpointOutput) : -1},
              {"events", this->currentAttempt->events},
              {"is_answer_started", this->answerStarted},
              {"possible_runs", this->progress.possibleRuns},
              {"recent_requests", use.requests},
              {"recent_retries", use.retries},
              {"remaining_ms", toMilliseconds(this->remaining())}});
    this->context.metrics.recordSilence(this->route->name, action, retryObstacleName(obstacle));
}

void RequestRun::logEscalation() const
{
    logEvent(LogLevel::Info,
             "answer.escalated",
             {{"request", this->gatewayRequest.id},
              {"from", this->currentAttempt->query.model},
              {"to", this->modelSelection.model()},
              {"confidence", this->modelSelection.latestConfidence()->confidence},
              {"endpoint", this->currentAttempt->choice.endpoint.id},
              {"shared_prompt", this->currentAttempt->choice.sharedPrefixKey.value_or(0)},
              {"is_home", this->currentAttempt->choice.isHome},
              {"expected_ms", toMilliseconds(this->currentAttempt->choice.firstOutput)},
              {"elapsed_ms", toMilliseconds(monotonicNow() - this->started)}});
}

const char *RequestRun::stopOutcome() const
{
    if (this->caller->gone) {
        return "caller_gone";
    }
    if (this->isRefusedLate) {
        return "refused_late";
    }
    if (this->caller->interrupted) {
        return "interrupted";
    }
    return this->reason == "stream_broken" ? "broken_off" : "answered";
}

void RequestRun::recordStop(nlohmann::ordered_json &fields, MonotonicTime now) const
{
    if (!this->state.stop) {
        return;
    }
    fields["stop_arrival_ms"] = toMilliseconds(this->started - this->state.stop->began);
    fields["stop_left_ms"] = toMilliseconds(this->state.stop->endsAt - now);
    this->context.metrics.recordStopRequest(this->stopOutcome());
}

void RequestRun::logEnd() const
{
    const MonotonicTime now = monotonicNow();
    nlohmann::ordered_json fields = {{"request", this->gatewayRequest.id},
                                     {"route", this->route ? this->route->name : ""},
                                     {"account", this->account ? this->account->name : ""},
                                     {"status", this->status},
                                     {"attempts", this->progress.arrivals},
                                     {"elapsed_ms", toMilliseconds(now - this->started)}};
    if (this->gatewayRequest.promptTokens > 0) {
        fields["prompt_tokens"] = this->gatewayRequest.promptTokens;
        fields["output_limit"] = this->gatewayRequest.maxOutputTokens;
    }
    if (this->firstOutputAt) {
        fields["first_output_ms"] = toMilliseconds(*this->firstOutputAt - this->started);
    }
    if (this->currentAttempt) {
        fields["endpoint"] = this->currentAttempt->choice.endpoint.id;
        fields["version"] = this->currentAttempt->choice.endpoint.version;
        fields["model"] = this->currentAttempt->query.model;
        fields["expected_ms"] = toMilliseconds(this->currentAttempt->choice.firstOutput);
        fields["uncached_tokens"] = this->currentAttempt->choice.uncachedTokens;
        if (this->currentAttempt->choice.sharedPrefixKey) {
            fields["shared_prompt"] = *this->currentAttempt->choice.sharedPrefixKey;
            fields["is_home"] = this->currentAttempt->choice.isHome;
        }
    }
    if (this->modelSelection.latestConfidence()) {
        fields["confidence"] = this->modelSelection.latestConfidence()->confidence;
    }
    if (this->routes) {
        fields["configuration"] = this->routes->configuration().version;
    }
    if (!this->reason.empty()) {
        fields["reason"] = this->reason;
    }
    if (this->deferredFor > Duration::zero()) {
        fields["deferred_ms"] = toMilliseconds(this->deferredFor);
    }
    this->recordStop(fields, now);
    const bool isServed = this->status >= 200 && this->status < 300 && this->reason.empty();
    logEvent(isServed ? LogLevel::Info : LogLevel::Warning, "request.ended", fields);
    this->context.metrics.recordRequest(this->route ? this->route->name : "none", this->status, this->caller->gone, now - this->started);
    if (this->firstOutputAt) {
        this->context.metrics.recordFirstOutput(this->route ? this->route->name : "none", *this->firstOutputAt - this->started);
    }
}

} // namespace Godwitfork
