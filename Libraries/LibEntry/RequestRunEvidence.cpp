#include "LibCore/Log.h"
#include "LibEntry/RequestRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Lower bound of the expected time to which an answer's time is related.
constexpr Duration minNominalTime = std::chrono::milliseconds(25);
/// Longest time that a caller with a quarantined prompt is told to wait.
constexpr Duration maxQuarantineRetryDelay = std::chrono::seconds(60);
/// Pause between two log lines on malformed headers of endpoints.
constexpr Duration malformedHeaderLogInterval = std::chrono::seconds(1);
} // namespace

void RequestRun::recordAnnouncement(const EndpointAnnouncement &announcement)
{
    const EndpointEntry &endpoint = this->currentAttempt->choice.endpoint;
    const MonotonicTime now = monotonicNow();
    if (!announcement.problem.empty()) {
        if (now >= this->state.malformedHeadersLoggedUntil) {
            this->state.malformedHeadersLoggedUntil = now + malformedHeaderLogInterval;
            logEvent(LogLevel::Warning,
                     "endpoint.malformed_header",
                     {{"request", this->gatewayRequest.id}, {"endpoint", endpoint.id}, {"value", announcement.problem}});
        }
    }
    if (announcement.isLeaving && this->state.announcements.recordLeaving(endpoint.id, endpoint.incarnation, now)) {
        this->context.metrics.recordAnnouncement(this->service, "leaving");
        logEvent(LogLevel::Info, "endpoint.leaving", {{"request", this->gatewayRequest.id}, {"endpoint", endpoint.id}, {"incarnation", endpoint.incarnation}});
    }
    if (announcement.closedFor && this->state.announcements.recordClosed(endpoint.id, endpoint.incarnation, *announcement.closedFor, now)) {
        this->context.metrics.recordAnnouncement(this->service, "closed");
        logEvent(LogLevel::Info,
                 "endpoint.closed",
                 {{"request", this->gatewayRequest.id},
                  {"endpoint", endpoint.id},
                  {"incarnation", endpoint.incarnation},
                  {"closed_ms", toMilliseconds(*announcement.closedFor)}});
    }
    if (!announcement.problem.empty() && !announcement.requestsPerSecond) {
        return;
    }
    const LimitChange change = this->state.announcements.record(endpoint.id, endpoint.incarnation, announcement.requestsPerSecond, now);
    if (change == LimitChange::None) {
        return;
    }
    this->context.metrics.recordAnnouncement(this->service, "limit");
    logEvent(LogLevel::Info,
             "endpoint.limit",
             {{"request", this->gatewayRequest.id},
              {"endpoint", endpoint.id},
              {"incarnation", endpoint.incarnation},
              {"service", this->service},
              {"change", limitChangeName(change)},
              {"per_second", announcement.requestsPerSecond.value_or(-1)}});
}

void RequestRun::recordVersionAnswer(const AttemptOutcome &outcome)
{
    const EndpointEntry &endpoint = this->currentAttempt->choice.endpoint;
    if (!mayHaveRun(outcome)) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    this->state.versions.recordSession(this->service, this->gatewayRequest.session, endpoint.version, now);
    if (outcome.end == AttemptEnd::Answered && isSuccess(outcome.answer)) {
        this->recordVersionTime();
    }
    if (outcome.isMemoryShort) {
        return;
    }
    AnswerObservation answer = this->versionAnswer();
    answer.isFailure = outcome.end != AttemptEnd::Answered || !isSuccess(outcome.answer);
    if (!this->currentAttempt->isAnswerRecorded) {
        this->state.versions.recordAnswer(this->service, endpoint.version, answer);
    } else if (answer.isFailure) {
        this->state.versions.recordLateFailure(this->service, endpoint.version, answer);
    }
    this->currentAttempt->isAnswerRecorded = true;
    this->hasFailedOnCandidate = this->hasFailedOnCandidate || answer.isFailure;
}

void RequestRun::recordMemoryRefusal(MemoryUse use)
{
    const MemoryBudget &memory = this->state.memory;
    this->context.metrics.recordMemoryRefusal(memoryUseName(use));
    logEvent(LogLevel::Warning,
             "memory.refused",
             {{"request", this->gatewayRequest.id},
              {"account", this->account ? this->account->name : std::string()},
              {"use", memoryUseName(use)},
              {"length", headerValue(this->exchange.request().headers, "Content-Length")},
              {"held_bodies", memory.held(MemoryUse::RequestBody)},
              {"held_answers", memory.held(MemoryUse::Answer)},
              {"held_events", memory.held(MemoryUse::PartialEvent)},
              {"capacity", memory.limits().capacity}});
}

void RequestRun::recordVersionStart()
{
    if (!this->currentAttempt->isAnswerRecorded) {
        this->currentAttempt->isAnswerRecorded = true;
        this->state.versions.recordAnswer(this->service, this->currentAttempt->choice.endpoint.version, this->versionAnswer());
    }
}

AnswerObservation RequestRun::versionAnswer() const
{
    AnswerObservation answer;
    answer.route = this->route->name;
    answer.endpoint = this->currentAttempt->choice.endpoint.id;
    answer.isWithoutSession = this->gatewayRequest.session.empty();
    return answer;
}

double RequestRun::relativeVersionTime(std::int64_t events) const
{
    Duration expected = std::max(this->currentAttempt->choice.nominalFirstOutput, minNominalTime);
    const ServiceProperties *properties = this->routes->findService(this->service);
    if (properties && properties->engine && events > 1) {
        const std::int64_t tokens = (events - 1) * properties->engine->tokensPerEvent;
        expected += this->state.chooser.speeds().outputTime(this->service, this->currentAttempt->query.model, tokens);
    }
    const Duration elapsed = monotonicNow() - this->currentAttempt->started;
    return static_cast<double>(elapsed.count()) / static_cast<double>(expected.count());
}

void RequestRun::recordVersionTime()
{
    if (this->currentAttempt->isTimeRecorded) {
        return;
    }
    this->currentAttempt->isTimeRecorded = true;
    const double relativeTime = this->relativeVersionTime(this->currentAttempt->events);
    this->state.versions.recordAnswerTime(this->service, this->currentAttempt->choice.endpoint.version, this->versionAnswer(), relativeTime);
}

void RequestRun::recordOverdueVersionTime()
{
    if (this->currentAttempt->isTimeRecorded) {
        return;
    }
    const double relativeTime = this->relativeVersionTime(timedEvents);
    if (relativeTime > slowFactor) {
        this->currentAttempt->isTimeRecorded = true;
        this->state.versions.recordAnswerTime(this->service, this->currentAttempt->choice.endpoint.version, this->versionAnswer(), relativeTime);
    }
}

ObservationUse RequestRun::observationUse() const
{
    const bool isTrial = this->state.versions.isCandidate(this->service, this->currentAttempt->choice.endpoint.version);
    return isTrial ? ObservationUse::Endpoint : ObservationUse::Service;
}

void RequestRun::recordOutputSpeed(std::int64_t events, Duration elapsed)
{
    const ServiceProperties *properties = this->routes->findService(this->service);
    if (properties && properties->engine && events > 1 && this->observationUse() == ObservationUse::Service) {
        const std::int64_t tokens = (events - 1) * properties->engine->tokensPerEvent;
        this->state.chooser.speeds().recordOutput(this->service, this->currentAttempt->query.model, tokens, elapsed);
    }
}

void RequestRun::recordPromptCrash(const AttemptOutcome &outcome)
{
    if (outcome.end != AttemptEnd::Lost || !outcome.isConnectionLost || this->currentAttempt->firstOutput || this->gatewayRequest.promptParts.empty()) {
        return;
    }
    const EndpointEntry &endpoint = this->currentAttempt->choice.endpoint;
    const MonotonicTime now = monotonicNow();
    this->state.promptQuarantine.recordCrash(this->gatewayRequest.promptParts, crashKey(endpoint.id, endpoint.incarnation), now);
    this->context.metrics.recordPromptCrash(this->service);
    const auto suspect = this->state.promptQuarantine.mostSuspect(this->gatewayRequest.promptParts, now).value_or(SuspectedPart());
    logEvent(LogLevel::Info,
             "prompt.crash",
             {{"request", this->gatewayRequest.id},
              {"endpoint", endpoint.id},
              {"part", suspect.part},
              {"crashes", suspect.crashes},
              {"proven", suspect.provenCrashes},
              {"prompts", suspect.prompts}});
}

// The refusal is true for this attempt of the caller, which no endpoint has received. The caller may come back when the part is tried again.
Asio::awaitable<void> RequestRun::refuseQuarantined(QuarantinedPart part)
{
    const Duration retryAfter = std::min(part.remaining, maxQuarantineRetryDelay);
    logEvent(LogLevel::Warning,
             "prompt.refused",
             {{"request", this->gatewayRequest.id},
              {"part", part.part},
              {"crashes", part.crashes},
              {"last_crash_ms", toMilliseconds(part.sinceLastCrash)},
              {"retry_after_ms", toMilliseconds(retryAfter)}});
    this->context.metrics.recordPromptRefusal(this->service);
    co_await this->sendOwnAnswer(503, "prompt_quarantined", retryAfter);
}

} // namespace Godwitfork
