#include "LibEntry/RequestRun.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"
#include "LibEntry/BodyAdmission.h"
#include "LibEntry/ColdEndpoints.h"
#include "LibHttp/EventSplitter.h"
#include "RequestHeaders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// An endpoint in the same region accepts a connection within a few milliseconds. A longer time means that it is down or a packet was lost.
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
/// Time without acknowledgement after which a connection counts as dead; TCP retransmits a lost packet after about 200 ms.
constexpr Duration unacknowledgedLimit = std::chrono::milliseconds(900);
/// Part of the caller's deadline reserved for sending the answer back.
constexpr Duration answerMargin = std::chrono::milliseconds(10);
/// An answer with this status has no body, whatever its headers say.
constexpr int noContentStatus = 204;
constexpr Duration defaultDeadline = std::chrono::seconds(30);
/// Delay after a refusal of an instance that stops. It is short, since another instance takes the request at once.
constexpr Duration minStoppingDelay = std::chrono::milliseconds(50);
constexpr Duration maxStoppingDelay = std::chrono::milliseconds(200);
constexpr int notReadyStatus = 503;
constexpr const char *memoryShort = "memory_short";

std::string errorBody(const std::string &reason)
{
    return nlohmann::json {{"error", {{"code", reason}}}}.dump();
}

/// Maps a session, or a request without one, to a fraction in [0, 1) that is the same on all instances.
double sessionFraction(const GatewayRequest &gatewayRequest)
{
    return hashFraction(sessionHash(gatewayRequest.session.empty() ? gatewayRequest.id : gatewayRequest.session));
}

AttemptOutcome failedAttempt(const HttpClientError &error)
{
    AttemptOutcome outcome;
    if (error.phase == SendPhase::NotSent) {
        outcome.end = AttemptEnd::NotSent;
    } else if (error.failure == HttpFailure::Timeout) {
        outcome.end = AttemptEnd::TimedOut;
    } else {
        outcome.end = AttemptEnd::Lost;
        outcome.isConnectionLost = error.failure == HttpFailure::ConnectionLost;
    }
    return outcome;
}

EndpointResult endpointResult(const AttemptOutcome &outcome)
{
    if (outcome.isMemoryShort) {
        return EndpointResult::Ended;
    }
    switch (outcome.end) {
    case AttemptEnd::NotSent:
    case AttemptEnd::TimedOut:
        return EndpointResult::NoResponse;
    case AttemptEnd::Lost:
        return EndpointResult::Failure;
    case AttemptEnd::Answered:
        break;
    }
    if (outcome.answer.notRun) {
        return EndpointResult::Shed;
    }
    return isSuccess(outcome.answer) ? EndpointResult::Success : EndpointResult::Failure;
}
} // namespace

RequestRun::RequestRun(EntryContext &context, HttpExchange &exchange)
    : context(context), state(context.state), exchange(exchange), caller(context.state.requests.add()), started(monotonicNow()), modelSelection(context.state)
{
    this->exchange.onClientDisconnect([caller = this->caller] {
        caller->gone = true;
        if (caller->canceller) {
            caller->canceller->cancel();
        }
    });
}

Asio::awaitable<void> RequestRun::run()
{
    this->gatewayRequest = Platform::readRequest(this->exchange.request());
    this->routes = this->state.routes;
    bool isAccepted = co_await this->checkRequest();
    isAccepted = isAccepted && co_await this->checkStop();
    if (isAccepted) {
        co_await this->serve();
    }
    this->logEnd();
}

Asio::awaitable<bool> RequestRun::checkRequest()
{
    const HeadCheck check = checkHead(this->state, this->gatewayRequest);
    this->route = check.route;
    this->account = check.account;
    if (check.refusalStatus != 0) {
        const Duration retryAfter = check.refusalStatus == notReadyStatus ? this->retryDelay() : Duration::zero();
        co_await this->sendOwnAnswer(check.refusalStatus, check.refusalReason, retryAfter);
        co_return false;
    }
    if (this->exchange.isBodyMissing()) {
        this->recordMemoryRefusal(MemoryUse::RequestBody);
        co_await this->sendOwnAnswer(notReadyStatus, memoryShort, this->retryDelay());
        co_return false;
    }
    co_return true;
}

Asio::awaitable<bool> RequestRun::checkStop()
{
    if (!this->state.stop || isAdmittedWhileStopping(stopConditions(*this->state.stop, this->started, this->timeLimit()))) {
        co_return true;
    }
    this->isRefusedLate = true;
    ++this->state.stopCounts.refusedLate;
    std::uniform_int_distribution<std::int64_t> delay(minStoppingDelay.count(), maxStoppingDelay.count());
    co_await this->sendOwnAnswer(503, "instance_stopping", Duration(delay(this->state.random)));
    co_return false;
}

Asio::awaitable<void> RequestRun::serve()
{
    this->deadline = this->started + this->timeLimit();
    this->service = chooseService(*this->route, sessionFraction(this->gatewayRequest));
    this->modelSelection.begin(*this->route, this->gatewayRequest, this->routes->findService(this->service));
    this->progress.repeatRule = this->route->repeatRule;
    this->progress.attemptLimit = this->route->attemptLimit;
    recordRequest(this->state.retryBudget(this->service), this->started);
    const auto quarantined = this->state.promptQuarantine.refusal(this->gatewayRequest.promptParts, this->started);
    if (quarantined) {
        co_await this->refuseQuarantined(*quarantined);
        co_return;
    }
    while (!this->caller->gone) {
        if (!co_await this->startAttemptInTurn()) {
            this->logUnavailable();
            co_await this->finish(this->progress.possibleRuns == 0 ? NextStep::RefuseNotRun : NextStep::Fail);
            co_return;
        }
        if (this->progress.arrivals > 0 && !std::exchange(this->hasTakenRetry, false)) {
            takeRetry(this->state.retryBudget(this->service), monotonicNow());
        }
        const AttemptOutcome outcome = co_await this->attempt();
        if (this->caller->gone) {
            this->endAttempt(EndpointResult::Ended);
            break;
        }
        this->progress = recordAttempt(this->progress, outcome);
        const bool isInterrupted = this->caller->interrupted && outcome.end != AttemptEnd::Answered;
        this->endAttempt(isInterrupted ? EndpointResult::Ended : endpointResult(outcome));
        if (!isInterrupted) {
            this->recordVersionAnswer(outcome);
            this->recordPromptCrash(outcome);
            this->recordColdEvidence(outcome);
        }
        if (this->isEscalating) {
            this->logEscalation();
            this->isEscalating = false;
            this->triedEndpoints.erase(this->currentAttempt->choice.endpoint.id);
            continue;
        }
        if (this->answerStarted) {
            const bool isComplete = this->streamComplete;
            const bool canResume = !isComplete && mayResume(this->progress, this->retryMeans(this->candidates(this->hasFailedOnCandidate)));
            this->logAttempt(outcome, canResume ? NextStep::TryAnother : NextStep::Deliver);
            if (canResume) {
                continue;
            }
            if (isComplete) {
                this->reason.clear();
                co_await this->exchange.finishStream();
            } else {
                this->reason = "stream_broken";
                this->exchange.abort();
            }
            co_return;
        }
        const NextStep step = nextStep(this->progress, outcome, this->retryMeans(this->candidates(this->hasFailedOnCandidate)));
        this->logAttempt(outcome, step);
        if (step == NextStep::TryAnother) {
            continue;
        }
        co_await this->finish(step);
        co_return;
    }
    this->reason = "caller_gone";
}

std::vector<const EndpointEntry *> RequestRun::candidates(bool hasFailed) const
{
    const VersionQuery query {this->service, this->gatewayRequest.session, sessionFraction(this->gatewayRequest), hasFailed, !this->triedEndpoints.empty()};
    return this->state.versions.filter(query, this->availableEndpoints(), monotonicNow());
}

std::vector<const EndpointEntry *> RequestRun::availableEndpoints() const
{
    const MonotonicTime now = monotonicNow();
    std::vector<const EndpointEntry *> endpoints = this->state.endpoints.ready(this->service);
    std::erase_if(endpoints, [&](const EndpointEntry *endpoint) { return this->placementObstacle(*endpoint) != PlacementObstacle::None; });
    std::erase_if(endpoints, [&](const EndpointEntry *endpoint) {
        return this->state.announcements.timeToRequest(endpoint->id, endpoint->incarnation, now) > Duration::zero();
    });
    removeColdEndpoints(this->state, this->routes->findService(this->service), endpoints, now);
    return endpoints;
}

ChoiceQuery RequestRun::makeQuery() const
{
    ChoiceQuery query;
    query.service = this->service;
    query.promptTokens = this->gatewayRequest.promptTokens;
    query.parts = this->gatewayRequest.promptParts;
    query.excluded = this->triedEndpoints;
    query.bodyBytes = this->exchange.request().body.size();
    query.serviceEndpoints = this->serviceEndpointCount();
    const ServiceProperties *properties = this->routes->findService(this->service);
    if (properties && properties->engine) {
        query.memoryTokens = properties->engine->memoryTokens;
        query.model = this->gatewayRequest.model;
    }
    return query;
}

SelectionInputs RequestRun::selectionInputs() const
{
    SelectionInputs inputs;
    inputs.now = monotonicNow();
    inputs.endpoints = this->candidates(this->hasFailedOnCandidate);
    inputs.query = this->makeQuery();
    inputs.times = {
        this->route->latencyObjective, this->timeToObjective(), this->remaining(), this->state.chooser.loads().meanPromptWait(this->service, inputs.now)};
    return inputs;
}

bool RequestRun::escalate(const AnswerMetadata &answer)
{
    if (!this->modelSelection.isChoosing()) {
        return false;
    }
    this->modelSelection.recordAnswer(answer);
    // An escalation executes the request once more and adds one arrival at the service, so it counts against both limits.
    const bool mayRunAgain = mayRepeat(this->route->repeatRule) && this->progress.possibleRuns + 1 < this->progress.attemptLimit;
    if (this->answerStarted || this->caller->interrupted || !answer.confidence || !mayRunAgain
        || !this->retryMeans(this->candidates(this->hasFailedOnCandidate)).hasBudget) {
        return false;
    }
    this->isEscalating = this->modelSelection.escalate(this->selectionInputs());
    return this->isEscalating;
}

bool RequestRun::startAttempt()
{
    AttemptInProgress next;
    next.query = this->makeQuery();
    if (this->modelSelection.isChoosing()) {
        this->modelSelection.chooseFirst(this->selectionInputs());
        next.query.model = this->modelSelection.model();
    }
    const std::vector<const EndpointEntry *> endpoints = this->candidates(this->hasFailedOnCandidate);
    auto choice = this->state.chooser.choose(endpoints, next.query, monotonicNow(), this->state.random);
    if (!choice) {
        return false;
    }
    next.choice = std::move(*choice);
    if (this->triedEndpoints.empty() && !this->admit(next, endpoints)) {
        return false;
    }
    next.ticket = this->state.chooser.begin(next.query, next.choice);
    next.started = monotonicNow();
    this->state.announcements.recordRequest(next.choice.endpoint.id, next.choice.endpoint.incarnation, next.started);
    this->recordColdRequest(next.choice.endpoint, next.started);
    next.waitingSince = next.started;
    this->triedEndpoints.insert(next.choice.endpoint.id);
    this->currentAttempt = std::move(next);
    return true;
}

void RequestRun::endAttempt(EndpointResult result)
{
    if (this->currentAttempt) {
        this->state.chooser.end(this->currentAttempt->ticket, result, monotonicNow());
    }
}

HttpCallOptions RequestRun::callOptions(Duration limit)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, limit);
    options.responseTimeout = limit;
    options.idleTimeout = limit;
    const EntrySettings &settings = this->state.settings;
    options.maxBodyBytes = static_cast<std::size_t>(isStream(this->route->repeatRule) ? settings.maxStreamBytes : settings.maxAnswerBytes);
    options.tcpUserTimeout = unacknowledgedLimit;
    // A reused connection may close while the request is in transit; a request that must not be repeated could then not be sent again.
    options.reuse = mayRepeat(this->route->repeatRule) ? ConnectionReuse::Allowed : ConnectionReuse::Never;
    options.canceller = std::make_shared<HttpCallCanceller>();
    // An answer without an id on a reused connection may be one to an earlier request that was sent again.
    options.isMatchingResponse = [id = this->gatewayRequest.id](const HttpHeaders &headers, ConnectionAge age) {
        return Platform::isAnswerTo(headers, id, age == ConnectionAge::New ? Platform::IdEcho::Optional : Platform::IdEcho::Required);
    };
    this->caller->canceller = options.canceller;
    return options;
}

Asio::awaitable<AttemptOutcome> RequestRun::attempt()
{
    const Duration remaining = this->remaining();
    AttemptHeaders headers;
    headers.endpoint = this->currentAttempt->choice.endpoint.id;
    headers.account = this->account ? this->account->name : std::string();
    headers.remaining = remaining;
    headers.model = this->gatewayRequest.model.empty() ? this->currentAttempt->query.model : std::string();
    headers.resumeAfter = this->lastEventId;
    if (this->state.settings.sendsPriorities && this->modelSelection.isChoosing()) {
        headers.enginePriority = requestPriority(*this->route, this->account);
    }
    const Duration limit = attemptTimeLimit(this->progress, remaining);
    if (limit < remaining) {
        this->currentAttempt->plainAnswer = limit;
    }
    HttpCallOptions options = this->callOptions(remaining);
    options.sharedBody = this->exchange.sharedBody();
    HttpRequest request = Platform::makeEndpointRequest(this->exchange.request(), headers);
    this->stalled = false;
    const std::shared_ptr<bool> ended =
        isStream(this->route->repeatRule) || this->currentAttempt->plainAnswer ? this->watchForStall() : std::make_shared<bool>();
    auto stream = co_await this->context.client.open(this->currentAttempt->choice.endpoint.address, std::move(request), std::move(options));
    AttemptOutcome outcome;
    if (stream) {
        outcome = co_await this->readAnswer(std::move(stream).value());
    } else {
        this->reason = stream.error().message;
        outcome = failedAttempt(stream.error());
    }
    *ended = true;
    if (this->stalled) {
        this->reason = "endpoint_stalled";
        outcome.end = outcome.end == AttemptEnd::NotSent ? AttemptEnd::NotSent : AttemptEnd::TimedOut;
        // This instance closed the connection itself.
        outcome.isConnectionLost = false;
    }
    if (this->caller->interrupted && outcome.end != AttemptEnd::Answered) {
        this->reason = "instance_stopping";
        outcome.isConnectionLost = false;
    }
    co_return outcome;
}

Asio::awaitable<AttemptOutcome> RequestRun::readAnswer(std::unique_ptr<HttpResponseStream> stream)
{
    AttemptOutcome outcome;
    outcome.end = AttemptEnd::Answered;
    outcome.answer = Platform::readAnswer(stream->status(), stream->headers());
    this->recordAnnouncement(outcome.answer.announcement);
    const bool isWithoutBody = outcome.answer.status == noContentStatus && !this->answerStarted;
    if (isStream(this->route->repeatRule) && isSuccess(outcome.answer) && !isWithoutBody) {
        if (this->escalate(outcome.answer)) {
            const MonotonicTime now = monotonicNow();
            this->currentAttempt->firstOutput = now - this->currentAttempt->started;
            this->recordFirstOutput(now);
            co_return outcome;
        }
        const RelayEnd end = co_await this->relay(*stream);
        this->streamComplete = end == RelayEnd::Complete;
        if (end == RelayEnd::Broken) {
            outcome.end = AttemptEnd::Lost;
            outcome.isConnectionLost = this->currentAttempt->isConnectionLost;
            outcome.isMemoryShort = this->currentAttempt->isMemoryShort;
        }
        co_return outcome;
    }
    this->currentAttempt->plainAnswer.reset();
    BufferedAnswer answer;
    answer.status = stream->status();
    answer.headers = Platform::callerAnswerHeaders(stream->headers());
    answer.memory = this->openMemory(MemoryUse::Answer);
    while (true) {
        // An endpoint that sends one byte at a time must not hold the request beyond its deadline.
        stream->setIdleTimeout(this->remaining());
        auto bytes = co_await stream->readSome();
        if (!bytes) {
            outcome.end = AttemptEnd::Lost;
            outcome.isConnectionLost = bytes.error().failure == HttpFailure::ConnectionLost;
            this->reason = bytes.error().message;
            co_return outcome;
        }
        if (bytes.value().empty()) {
            break;
        }
        if (!this->growAnswer(answer, bytes.value().size())) {
            this->recordMemoryRefusal(MemoryUse::Answer);
            outcome.end = AttemptEnd::Lost;
            outcome.isMemoryShort = true;
            this->reason = memoryShort;
            co_return outcome;
        }
        answer.body += bytes.value();
    }
    this->firstOutputAt = monotonicNow();
    this->currentAttempt->firstOutput = *this->firstOutputAt - this->currentAttempt->started;
    if (isSuccess(outcome.answer)) {
        this->recordFirstOutput(*this->firstOutputAt);
        this->state.promptQuarantine.recordOutput(this->gatewayRequest.promptParts, *this->firstOutputAt);
    }
    this->bufferedAnswer = std::move(answer);
    co_return outcome;
}

// Both copies are held while the bytes move.
bool RequestRun::growAnswer(BufferedAnswer &answer, std::size_t bytes) const
{
    const std::size_t needed = answer.body.size() + bytes;
    if (needed <= answer.body.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(needed, 2 * answer.body.capacity());
    if (!answer.memory.resize(answer.body.size() + capacity)) {
        return false;
    }
    answer.body.reserve(capacity);
    return answer.memory.resize(capacity);
}

MemoryReservation RequestRun::openMemory(MemoryUse use) const
{
    return this->state.memory.open(use, this->account ? this->account->name : std::string());
}

Asio::awaitable<RequestRun::RelayEnd> RequestRun::relay(HttpResponseStream &stream)
{
    EventSplitter splitter;
    MemoryReservation memory = this->openMemory(MemoryUse::PartialEvent);
    std::int64_t events = 0;
    MonotonicTime firstEventAt;
    bool isFirst = true;
    while (true) {
        stream.setIdleTimeout(this->remaining());
        auto bytes = co_await stream.readSome();
        if (this->caller->gone) {
            co_return RelayEnd::CallerGone;
        }
        if (!bytes) {
            this->currentAttempt->isConnectionLost = bytes.error().failure == HttpFailure::ConnectionLost;
            this->reason = bytes.error().message;
            co_return RelayEnd::Broken;
        }
        if (bytes.value().empty()) {
            this->recordOutputSpeed(events, monotonicNow() - firstEventAt);
            if (!this->isStreamWhole(stream, splitter.hasPartialEvent(), events)) {
                this->currentAttempt->isConnectionLost = !stream.isFramed();
                this->reason = "stream_ended_early";
                co_return RelayEnd::Broken;
            }
            // A stream resumed after its last event has no events left. It is complete, and its status and headers must still be sent.
            co_await this->startAnswer(stream);
            co_return RelayEnd::Complete;
        }
        auto complete = splitter.feed(bytes.value());
        if (!complete) {
            this->reason = complete.error().code;
            co_return RelayEnd::Broken;
        }
        // Complete events are held until the caller has taken them.
        std::size_t heldBytes = splitter.heldBytes();
        for (const RawEvent &event : complete.value()) {
            heldBytes += event.bytes.size();
        }
        if (!memory.resize(heldBytes)) {
            this->recordMemoryRefusal(MemoryUse::PartialEvent);
            this->currentAttempt->isMemoryShort = true;
            this->reason = memoryShort;
            co_return RelayEnd::Broken;
        }
        if (!complete.value().empty()) {
            this->currentAttempt->waitingSince = monotonicNow();
            this->state.chooser.loads().recordOutput(this->currentAttempt->choice.endpoint.id, this->currentAttempt->waitingSince);
        }
        events += static_cast<std::int64_t>(complete.value().size());
        this->currentAttempt->events = events;
        if (events > 0) {
            this->recordVersionStart();
        }
        if (events >= timedEvents) {
            this->recordVersionTime();
        }
        std::string output = this->joinNewEvents(std::move(complete).value());
        if (output.empty()) {
            continue;
        }
        if (isFirst) {
            isFirst = false;
            const MonotonicTime now = monotonicNow();
            firstEventAt = now;
            this->currentAttempt->firstOutput = now - this->currentAttempt->started;
            this->recordFirstOutput(now);
            this->state.promptQuarantine.recordOutput(this->gatewayRequest.promptParts, now);
            if (!this->firstOutputAt) {
                this->firstOutputAt = now;
            }
        }
        co_await this->startAnswer(stream);
        this->currentAttempt->isWritingToCaller = true;
        const bool isWritten = co_await this->exchange.writeChunk(std::move(output));
        this->currentAttempt->isWritingToCaller = false;
        this->currentAttempt->waitingSince = monotonicNow();
        memory.resize(splitter.heldBytes());
        if (!isWritten) {
            this->caller->gone = true;
            co_return RelayEnd::CallerGone;
        }
    }
}

// Takes the events by value, so that they are not held beside the output while a slow caller reads it.
std::string RequestRun::joinNewEvents(std::vector<RawEvent> events)
{
    std::string output;
    for (const RawEvent &event : events) {
        if (event.id && this->lastEventId && *event.id <= *this->lastEventId) {
            continue;
        }
        output += event.bytes;
        if (event.id) {
            this->lastEventId = event.id;
        }
    }
    return output;
}

// A stream without length and chunks ends with its connection, which also closes if the endpoint crashes. Without a single event, unless it was
// resumed after its last one, it was broken off.
bool RequestRun::isStreamWhole(const HttpResponseStream &stream, bool hasPartialEvent, std::int64_t events) const
{
    const bool isResumed = this->lastEventId || this->gatewayRequest.resumeAfter;
    return !hasPartialEvent && (stream.isFramed() || events > 0 || isResumed);
}

Asio::awaitable<void> RequestRun::startAnswer(HttpResponseStream &stream)
{
    if (this->answerStarted) {
        co_return;
    }
    this->answerStarted = true;
    this->caller->hasAnswer = true;
    this->status = stream.status();
    co_await this->exchange.startStream(stream.status(), Platform::callerAnswerHeaders(stream.headers()));
}

void RequestRun::recordFirstOutput(MonotonicTime now)
{
    this->state.chooser.recordFirstOutput(
        this->currentAttempt->ticket, this->currentAttempt->query, this->currentAttempt->choice, this->currentAttempt->started, now, this->observationUse());
}

RetryConditions RequestRun::retryMeans(const std::vector<const EndpointEntry *> &endpoints)
{
    RetryConditions means;
    means.remaining = this->state.stop ? timeForAttempt(*this->state.stop, monotonicNow(), this->remaining()) : this->remaining();
    for (const EndpointEntry *endpoint : endpoints) {
        means.hasEndpoint = means.hasEndpoint || !this->triedEndpoints.contains(endpoint->id);
    }
    means.isPromptSuspect = this->state.promptQuarantine.isSuspect(this->gatewayRequest.promptParts, monotonicNow());
    means.hasBudget = this->hasTakenRetry || hasRetry(this->state.retryBudget(this->service), monotonicNow());
    return means;
}

Asio::awaitable<void> RequestRun::finish(NextStep step)
{
    if (step == NextStep::Deliver && !this->bufferedAnswer) {
        step = NextStep::Fail;
    }
    if (step == NextStep::RefuseNotRun) {
        this->recordPlacementRefusal();
    }
    if (step == NextStep::Deliver && this->bufferedAnswer) {
        HttpResponse response;
        response.status = this->bufferedAnswer->status;
        response.headers = std::move(this->bufferedAnswer->headers);
        response.body = std::move(this->bufferedAnswer->body);
        this->status = response.status;
        this->answerStarted = true;
        this->caller->hasAnswer = true;
        // The failure of an earlier attempt is logged with that attempt.
        this->reason = response.status < 300 ? "" : "endpoint_error";
        co_await this->exchange.respond(std::move(response));
        co_return;
    }
    const std::string cause = this->reason.empty() ? nextStepName(step) : this->reason;
    // Callers come back when an endpoint that is closed or at its limit takes a request again, spread by the usual delay.
    const Duration retryAfter = step == NextStep::RefuseNotRun ? this->timeToAvailableEndpoint() + this->retryDelay() : Duration::zero();
    co_await this->sendOwnAnswer(stepStatus(step), cause, retryAfter);
}

Asio::awaitable<void> RequestRun::sendOwnAnswer(int answerStatus, std::string cause, Duration retryAfter)
{
    HttpResponse response;
    response.status = answerStatus;
    response.headers = Platform::ownAnswerHeaders(this->gatewayRequest.id, retryAfter);
    response.body = errorBody(cause);
    this->status = answerStatus;
    this->reason = std::move(cause);
    this->caller->hasAnswer = true;
    co_await this->exchange.respond(std::move(response));
}

Duration RequestRun::timeLimit() const
{
    const Duration callerTime = this->gatewayRequest.deadline.value_or(defaultDeadline) - answerMargin;
    return std::min(callerTime, this->route->timeout);
}

Duration RequestRun::remaining() const
{
    return std::max(Duration::zero(), this->deadline - monotonicNow());
}

Duration RequestRun::timeToObjective() const
{
    return std::max(Duration::zero(), this->started + this->route->latencyObjective - monotonicNow());
}

} // namespace Godwitfork
