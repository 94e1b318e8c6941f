#pragma once

#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/ModelSelection.h"
#include "LibGateway/AttemptRules.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Godwitfork
{

/// What all requests of the process share.
struct EntryContext {
    boost::asio::io_context &context;
    EntryState &state;
    HttpClient &client;
    EntryMetrics &metrics;
};

/// The caller's presence, shared with the callback that the connection runs when the caller leaves.
struct CallerWatch {
    bool gone = false;
    std::shared_ptr<HttpCallCanceller> canceller;
};

/// One attempt at one endpoint that is in progress.
struct AttemptInProgress {
    ChoiceQuery query;
    EndpointChoice choice;
    LoadTicket ticket;
    MonotonicTime started;
    /// Time to the first output, once it arrived.
    std::optional<Duration> firstOutput;
    /// Time of the last event, or of the start.
    MonotonicTime lastEventAt;
};

/// Serves one request of a caller: checks it, tries endpoints, and passes the answer on.
class RequestRun
{
public:
    RequestRun(EntryContext &context, HttpExchange &exchange);

    boost::asio::awaitable<void> run();

private:
    /// Answer of an endpoint that is held until it is clear that it is delivered.
    struct HeldAnswer {
        int status = 0;
        HttpHeaders headers;
        std::string body;
    };

    enum class RelayEnd { Complete, CallerGone, Broken };

    boost::asio::awaitable<bool> checkRequest();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<AttemptOutcome> attempt();
    /// Cancels the current attempt once it is stalled; checked until the returned flag is set.
    std::shared_ptr<bool> watchForStall();
    bool isAttemptStalled() const;
    boost::asio::awaitable<AttemptOutcome> readAnswer(std::unique_ptr<HttpResponseStream> stream);
    boost::asio::awaitable<RelayEnd> relay(HttpResponseStream &stream);
    /// Sends the head of a stream's answer, once.
    boost::asio::awaitable<void> startAnswer(HttpResponseStream &stream);
    boost::asio::awaitable<void> answerSelf(int status, std::string reason, Duration retryAfter);
    boost::asio::awaitable<void> finish(NextStep step);
    bool startAttempt();
    ChoiceQuery makeQuery() const;
    SelectionInputs selectionInputs() const;
    /// Whether the answer is dropped for one of a larger model, with which the next attempt is made.
    bool escalate(const AnswerMetadata &answer);
    void endAttempt(EndpointResult result);
    std::vector<const EndpointEntry *> candidates() const;
    void recordVersion(const AttemptOutcome &outcome);
    HttpCallOptions callOptions(Duration limit);
    RetryConditions retryMeans();
    Duration remaining() const;
    Duration untilObjective() const;
    Duration retryDelay();
    void logAttempt(const AttemptOutcome &outcome, NextStep step) const;
    void recordFirstOutput(MonotonicTime now);
    void recordOutputSpeed(std::int64_t events, Duration elapsed);
    void logEscalation() const;
    void logEnd() const;

    EntryContext &context;
    EntryState &state;
    HttpExchange &exchange;
    std::shared_ptr<CallerWatch> caller;
    std::shared_ptr<const RouteTable> routes;
    GatewayRequest facts;
    const Route *route = nullptr;
    const ClientAccount *account = nullptr;
    std::string service;
    MonotonicTime started;
    MonotonicTime deadline;
    RequestProgress progress;
    std::set<std::string> tried;
    std::optional<AttemptInProgress> current;
    std::optional<HeldAnswer> held;
    /// The first event or the whole answer went to the caller.
    bool answerStarted = false;
    /// The stream's last part arrived.
    bool streamComplete = false;
    /// An attempt failed on the version under trial.
    bool avoidCandidate = false;
    std::optional<std::int64_t> lastEvent;
    std::optional<MonotonicTime> firstOutputAt;
    ModelSelection models;
    /// The current answer is dropped for one of a larger model.
    bool escalating = false;
    /// The current attempt was cancelled because it stalled.
    bool stalled = false;
    int status = 0;
    std::string reason;
};

} // namespace Godwitfork
