#pragma once

#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/ModelSelection.h"
#include "LibGateway/AttemptRules.h"
#include "LibGateway/StallRules.h"
#include "LibHttp/EventSplitter.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Godwitfork
{

/// Events after which the time of a stream is recorded, so that a slow version is found before its streams end.
constexpr std::int64_t timedEvents = 6;

/// Dependencies shared by all requests of the process.
struct EntryContext {
    boost::asio::io_context &context;
    EntryState &state;
    HttpClient &client;
    EntryMetrics &metrics;
};

/// State of an attempt in progress at one endpoint.
struct AttemptInProgress {
    ChoiceQuery query;
    EndpointChoice choice;
    LoadTicket ticket;
    MonotonicTime started;
    /// Time from the start of the attempt to its first output; empty before that.
    std::optional<Duration> firstOutput;
    /// Time since which the router has waited for the endpoint's next event.
    MonotonicTime waitingSince;
    /// Whether the router is writing to the caller and reads nothing from the endpoint.
    bool isWritingToCaller = false;
    std::int64_t events = 0;
    /// Whether the answer was recorded as an observation of the endpoint's version.
    bool isAnswerRecorded = false;
    /// Whether the time of the answer was recorded as an observation of the endpoint's version.
    bool isTimeRecorded = false;
    /// Whether the endpoint closed or reset the connection before the answer was complete.
    bool isConnectionLost = false;
    /// Time for the head of a plain answer if another attempt is to follow; empty for a stream and after the head.
    std::optional<Duration> plainAnswer;
    /// Whether a silence that is tolerated was logged.
    bool isSilenceLogged = false;
    /// Whether this instance could not hold the answer.
    bool isMemoryShort = false;
};

/// Serves one request of a caller: validates it, tries endpoints, and sends the answer.
class RequestRun
{
public:
    RequestRun(EntryContext &context, HttpExchange &exchange);

    boost::asio::awaitable<void> run();

private:
    /// Endpoint answer buffered until it is decided whether to deliver it to the caller.
    struct BufferedAnswer {
        int status = 0;
        HttpHeaders headers;
        std::string body;
        MemoryReservation memory;
    };

    enum class RelayEnd { Complete, CallerGone, Broken };

    boost::asio::awaitable<bool> checkRequest();
    /// Refuses the request if the process stops before the request certainly ends.
    boost::asio::awaitable<bool> checkStop();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<AttemptOutcome> attempt();
    /// Starts a watch that cancels the current attempt once it has stalled and the request can go on elsewhere. The watch ends when the
    /// returned flag is set.
    std::shared_ptr<bool> watchForStall();
    /// Cancels the current attempt if it has stalled and the request can go on elsewhere now. Returns whether it was cancelled.
    bool leaveIfStalled();
    /// Time until the attempt is checked for a stall again.
    Duration timeToStallCheck() const;
    StallEvidence stallEvidence() const;
    StallLimits stallLimits() const;
    boost::asio::awaitable<AttemptOutcome> readAnswer(std::unique_ptr<HttpResponseStream> stream);
    boost::asio::awaitable<RelayEnd> relay(HttpResponseStream &stream);
    /// Sends the status and headers of a streamed answer, unless they were sent already.
    boost::asio::awaitable<void> startAnswer(HttpResponseStream &stream);
    boost::asio::awaitable<void> sendOwnAnswer(int status, std::string reason, Duration retryAfter);
    boost::asio::awaitable<void> finish(NextStep step);
    bool startAttempt();
    /// Starts an attempt; one that is held back for more urgent requests is started when it is its turn. Returns false if no endpoint may get it.
    boost::asio::awaitable<bool> startAttemptInTurn();
    /// Decides whether the first attempt is sent, if necessary to another endpoint than the chosen one. Admits it without overload control.
    bool admit(AttemptInProgress &next, const std::vector<const EndpointEntry *> &endpoints);
    AdmissionRequest admissionRequest(const AttemptInProgress &next) const;
    void logAdmission(const AdmissionRequest &request, const AdmissionDecision &decision) const;
    ChoiceQuery makeQuery() const;
    SelectionInputs selectionInputs() const;
    /// Decides whether to discard the answer and make the next attempt with a larger model.
    bool escalate(const AnswerMetadata &answer);
    void endAttempt(EndpointResult result);
    std::vector<const EndpointEntry *> candidates(bool hasFailed) const;
    /// Ready endpoints of the service that this instance may send the request to now, by placement and by what they say of themselves.
    std::vector<const EndpointEntry *> availableEndpoints() const;
    /// Number of endpoints that requests of all kinds to the service may use; 0 unless capacity is learned.
    std::size_t serviceEndpointCount() const;
    PlacementObstacle placementObstacle(const EndpointEntry &endpoint) const;
    /// Counts and logs a refusal if placement allows none of the service's ready endpoints, and sets its reason.
    void recordPlacementRefusal();
    /// Time until the first endpoint that is closed, cold or at its limit takes a request of this instance; zero if there is none, or if other instances
    /// send them.
    Duration timeToAvailableEndpoint() const;
    /// Bound on the requests to cold endpoints of the service.
    ColdRule coldRule() const;
    /// Counts a request against this instance's share of a cold endpoint.
    void recordColdRequest(const EndpointEntry &endpoint, MonotonicTime now);
    /// Records what the end of an attempt shows of an endpoint that may have restarted.
    void recordColdEvidence(const AttemptOutcome &outcome);
    /// Logs and counts a request that cold endpoints could not take.
    void logColdEndpoints() const;
    void logUnavailable() const;
    void recordVersionAnswer(const AttemptOutcome &outcome);
    /// Records how long the answer has taken so far as an observation of the endpoint's version, once for each attempt.
    void recordVersionTime();
    /// Records a stream that has begun as a success of the endpoint's version. Failures are known at once and successes only at the end of a
    /// stream, which would make a version with many new streams look worse than it is.
    void recordVersionStart();
    /// Records an answer that is slow so far, so that the slowest answers of a version are not the last ones to be known.
    void recordOverdueVersionTime();
    /// Relation of the time since the attempt's start to the expected time of `events` events.
    double relativeVersionTime(std::int64_t events) const;
    AnswerObservation versionAnswer() const;
    ObservationUse observationUse() const;
    /// Records and logs what the endpoint said of itself in its answer.
    void recordAnnouncement(const EndpointAnnouncement &announcement);
    /// Records an endpoint that was lost before it had output for this request's prompt.
    void recordPromptCrash(const AttemptOutcome &outcome);
    /// Makes room for `bytes` more of an answer. Returns false if this instance may not hold them now.
    bool growAnswer(BufferedAnswer &answer, std::size_t bytes) const;
    MemoryReservation openMemory(MemoryUse use) const;
    /// Counts and logs bytes that this instance may not hold now.
    void recordMemoryRefusal(MemoryUse use);
    boost::asio::awaitable<void> refuseQuarantined(QuarantinedPart part);
    /// Joins the events that the caller has not got from an earlier attempt, and remembers the last one.
    std::string joinNewEvents(std::vector<RawEvent> events);
    bool isStreamWhole(const HttpResponseStream &stream, bool hasPartialEvent, std::int64_t events) const;
    HttpCallOptions callOptions(Duration limit);
    /// Time that the request may take from its start.
    Duration timeLimit() const;
    RetryConditions retryMeans(const std::vector<const EndpointEntry *> &endpoints);
    Duration remaining() const;
    Duration timeToObjective() const;
    Duration retryDelay();
    void logAttempt(const AttemptOutcome &outcome, NextStep step) const;
    void recordFirstOutput(MonotonicTime now);
    void recordOutputSpeed(std::int64_t events, Duration elapsed);
    /// Logs and counts that the endpoint was silent beyond its limit.
    void logSilence(const StallEvidence &evidence, const char *action, RetryObstacle obstacle);
    void logEscalation() const;
    void logEnd() const;
    const char *stopOutcome() const;
    /// Counts the request if the process is stopping, and adds the times of the stop to its log line.
    void recordStop(nlohmann::ordered_json &fields, MonotonicTime now) const;

    EntryContext &context;
    EntryState &state;
    HttpExchange &exchange;
    std::shared_ptr<CallerConnection> caller;
    std::shared_ptr<const RouteTable> routes;
    GatewayRequest gatewayRequest;
    const Route *route = nullptr;
    const ClientAccount *account = nullptr;
    std::string service;
    MonotonicTime started;
    MonotonicTime deadline;
    RequestProgress progress;
    std::set<std::string> triedEndpoints;
    std::optional<AttemptInProgress> currentAttempt;
    std::optional<BufferedAnswer> bufferedAnswer;
    bool isRefusedLate = false;
    /// Whether any part of an answer, its status and headers included, was sent to the caller.
    bool answerStarted = false;
    /// Whether the stream ended without a partial event.
    bool streamComplete = false;
    /// Whether an attempt failed, so that further ones leave a canary version that is suspected to be bad.
    bool hasFailedOnCandidate = false;
    std::optional<std::int64_t> lastEventId;
    std::optional<MonotonicTime> firstOutputAt;
    ModelSelection modelSelection;
    /// Whether the current answer is discarded for an attempt with a larger model.
    bool isEscalating = false;
    /// Whether the current attempt was cancelled because it stalled.
    bool stalled = false;
    /// Whether the retry for the next attempt was taken from the budget before the current one ended.
    bool hasTakenRetry = false;
    /// Whether the first attempt is held back at present, and the time for which it was.
    bool isDeferred = false;
    Duration deferredFor = Duration::zero();
    /// Whether the request was recorded as demand.
    bool isDemandRecorded = false;
    int status = 0;
    std::string reason;
};

} // namespace Godwitfork
