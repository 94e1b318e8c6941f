#include "LibEntry/EntryService.h"

#include "LibCore/Log.h"
#include "LibEntry/BodyAdmission.h"
#include "LibEntry/CatalogChanges.h"
#include "LibEntry/ColdEndpoints.h"
#include "LibEntry/ListenerLimits.h"
#include "LibSettings/SettingsReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <system_error>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Timeout of one store call. The store usually answers within milliseconds, but can be slow for a while.
constexpr Duration storeTimeout = std::chrono::milliseconds(1500);
/// Time before the end at which streams in progress are broken off; their log lines are written in it.
constexpr Duration lastAbortTime = std::chrono::milliseconds(50);
/// Interval of checks whether all connections are closed.
constexpr Duration endCheckInterval = std::chrono::milliseconds(20);
/// Time without a connection after which a stop needs no further wait for callers.
constexpr Duration quietTime = std::chrono::milliseconds(500);
/// Interval of checks for a settings file that changed without a signal.
constexpr Duration settingsCheckInterval = std::chrono::seconds(5);
constexpr const char *promptTrialTask = "prompt_trial";
/// Prefix of the task of sending requests to an endpoint that named a limit.
const std::string limitTask = "limit ";

HttpResponse refusal(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, nlohmann::json {{"error", {{"code", code}, {"message", message}}}}.dump());
}

template<typename Coroutine>
void spawn(Asio::io_context &context, Coroutine coroutine)
{
    Asio::co_spawn(context, std::move(coroutine), Asio::detached);
}
} // namespace

EntryService::EntryService(EntrySettings settings, std::string settingsFile)
    : context(1)
    , state(std::move(settings))
    , settingsFile(std::move(settingsFile))
    , settingsText(readFile(this->settingsFile))
    , client(this->context)
    , catalog(this->client, this->state.settings.store, storeTimeout)
    , requestContext {this->context, this->state, this->client, this->metrics}
    , peers(this->context, this->client, this->state)
    , rollouts(this->context, this->state, this->metrics, this->catalog, this->peers)
    , callers(
          this->context,
          this->state.settings.callers,
          callerListenerLimits(this->state.settings, {}),
          [this](HttpExchange &exchange) { return this->serveCaller(exchange); },
          refusal)
    , readiness(
          this->context,
          this->state.settings.readiness,
          observerListenerLimits(this->state.settings),
          [this](HttpExchange &exchange) { return this->serveReadiness(exchange); },
          refusal)
    , metricsListener(
          this->context,
          this->state.settings.metrics,
          observerListenerLimits(this->state.settings),
          [this](HttpExchange &exchange) { return this->serveMetrics(exchange); },
          refusal)
    , stopSignals(this->context, SIGTERM, SIGINT)
    , reloadSignals(this->context, SIGHUP)
{
    for (HttpServer *server : {&this->callers, &this->readiness, &this->metricsListener}) {
        server->setMemory(this->state.memory);
    }
    this->callers.setBodyAdmission([this](const HttpRequest &head) { return admitBody(this->state, head); });
    for (const CatalogKind kind : this->state.followedKinds()) {
        this->followers.push_back(std::make_unique<CatalogFollower>(this->context, this->catalog, this->state, kind));
    }
    std::vector<CatalogFollower *> relayed;
    for (const auto &follower : this->followers) {
        relayed.push_back(follower.get());
    }
    this->relay = std::make_unique<CatalogRelay>(
        this->context, this->client, relayed, [this] { return this->peers.relayHub(); }, [this](const HttpAddress &hub) { this->peers.excludeHub(hub); });
    this->peers.setRelayHandler([this](HttpExchange &exchange) { return this->relay->serve(exchange); });
}

void EntryService::run()
{
    logEvent(LogLevel::Info, "listening", {{"address", toText(this->callers.address())}, {"failure_domain", this->state.settings.failureDomain}});
    this->callers.start();
    this->readiness.start();
    this->metricsListener.start();
    this->peers.start();
    for (const auto &follower : this->followers) {
        spawn(this->context, [follower = follower.get()] { return follower->run(); });
    }
    spawn(this->context, [this] { return this->relay->run(); });
    spawn(this->context, [this] { return this->runPeriodicTasks(); });
    spawn(this->context, [this] { return this->waitForReload(); });
    spawn(this->context, [this] { return this->waitForStop(); });
    this->context.run();
    this->logStop("stopped");
    flushLog();
}

Asio::awaitable<void> EntryService::serveCaller(HttpExchange &exchange)
{
    RequestRun run(this->requestContext, exchange);
    co_await run.run();
}

Asio::awaitable<void> EntryService::serveReadiness(HttpExchange &exchange)
{
    HttpResponse response;
    response.status = this->state.isReady(monotonicNow()) ? 200 : 503;
    co_await exchange.respond(std::move(response));
}

EntryGauges EntryService::gauges() const
{
    EntryGauges gauges;
    if (this->state.routes) {
        gauges.configurationVersion = static_cast<double>(this->state.routes->configuration().version);
        gauges.configurationAgeSeconds = std::chrono::duration<double>(monotonicNow() - this->state.routesAdoptedAt).count();
    }
    for (const auto &[kind, freshness] : this->state.freshness) {
        gauges.copyAgeSeconds[catalogKindName(kind)] = std::chrono::duration<double>(monotonicNow() - freshness.confirmedAt).count();
    }
    gauges.endpoints = static_cast<double>(this->state.endpoints.size());
    gauges.coldEndpoints = countColdEndpoints(this->state, monotonicNow());
    gauges.evacuatedDomains = static_cast<double>(this->state.failureDomains.evacuated.size());
    gauges.ignoredItems = this->state.ignoredItems.counts();
    gauges.admissions = this->state.overload.counts();
    for (const MemoryUse use : memoryUses) {
        gauges.memoryHeldBytes[memoryUseName(use)] = static_cast<double>(this->state.memory.held(use));
    }
    gauges.capacities = capacityGauges(this->state, monotonicNow());
    gauges.listeners = {{"callers", this->callers.counters()},
                        {"readiness", this->readiness.counters()},
                        {"metrics", this->metricsListener.counters()},
                        {"peers", this->peers.listenerCounters()}};
    gauges.isReady = this->state.isReady(monotonicNow());
    return gauges;
}

Asio::awaitable<void> EntryService::serveMetrics(HttpExchange &exchange)
{
    HttpResponse response;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = this->metrics.toText(this->gauges());
    co_await exchange.respond(std::move(response));
}

void EntryService::applyLimits()
{
    if (!this->state.routes || this->state.routes->configuration().version == this->limitsVersion) {
        return;
    }
    this->limitsVersion = this->state.routes->configuration().version;
    this->callers.setLimits(callerListenerLimits(this->state.settings, this->state.routes->configuration().limits));
}

// The fixed retry allowance applies to the whole fleet, so each instance gets an equal share, and none while it knows no other.
void EntryService::applyPeerState(MonotonicTime now)
{
    updateColdEndpoints(this->state, this->peers.members(), now);
    this->state.promptQuarantine.setTrialRank(this->peers.rankFor(promptTrialTask));
    for (const auto &[endpoint, limit] : this->state.announcements.states()) {
        this->state.announcements.setRank(endpoint, this->peers.rankFor(limitTask + endpoint), this->peers.liveInstanceCount(), now);
    }
    const double share = this->peers.hasOtherMembers() ? 1.0 / this->peers.liveInstanceCount() : 0;
    this->state.setRetryAllowance(static_cast<double>(this->state.settings.retryAllowance) * share);
}

Asio::awaitable<void> EntryService::runPeriodicTasks()
{
    Asio::steady_timer timer(this->context);
    MonotonicTime nextSettings = monotonicNow() + settingsCheckInterval;
    while (true) {
        timer.expires_after(tickInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        const MonotonicTime now = monotonicNow();
        expireEndpoints(this->state, now);
        this->applyLimits();
        this->applyPeerState(now);
        this->state.versions.prune(now);
        this->state.promptQuarantine.prune(now);
        this->state.announcements.prune(now);
        this->rollouts.tick(now);
        this->peers.tick(now);
        if (this->state.isReady(now) != this->wasReady) {
            this->wasReady = !this->wasReady;
            logEvent(LogLevel::Info, this->wasReady ? "ready" : "not_ready");
        }
        if (now >= nextSettings) {
            nextSettings = now + settingsCheckInterval;
            this->reloadSettings("changed");
            this->capacityLog.logChanges(this->state, now);
        }
    }
}

// Retry limits, the stop limit, the seeds and the core share take effect at once. Listeners, the store address, the log level, and the
// failure domain, exposure share and session lifetime used for routing keep their values from startup.
void EntryService::reloadSettings(const char *cause)
{
    // A stop keeps the settings with which it began.
    if (this->state.stop) {
        return;
    }
    try {
        const std::string text = readFile(this->settingsFile);
        if (text == this->settingsText) {
            return;
        }
        this->settingsText = text;
        Findings findings;
        EntrySettings settings = parseEntrySettings(this->settingsFile, text, findings);
        if (!findings.isEmpty()) {
            logEvent(LogLevel::Error, "settings.rejected", {{"cause", cause}, {"findings", findings.toText()}});
            return;
        }
        this->state.adoptSettings(std::move(settings));
        logEvent(LogLevel::Info, "settings.reloaded", {{"cause", cause}});
    } catch (const std::system_error &error) {
        logEvent(LogLevel::Error, "settings.rejected", {{"cause", cause}, {"findings", error.what()}});
    }
}

Asio::awaitable<void> EntryService::waitForReload()
{
    while (true) {
        boost::system::error_code error;
        co_await this->reloadSignals.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        this->reloadSettings("signal");
    }
}

void EntryService::logStop(const char *phase, int signal) const
{
    nlohmann::ordered_json fields {{"requests", this->state.requests.count()},
                                   {"open_connections", this->callers.openConnections()},
                                   {"unread_connections", this->callers.connectionsWithUnreadBytes()},
                                   {"refused_late", this->state.stopCounts.refusedLate},
                                   {"interrupted", this->state.stopCounts.interrupted}};
    if (this->state.stop) {
        const MonotonicTime now = monotonicNow();
        fields["elapsed_ms"] = toMilliseconds(now - this->state.stop->began);
        fields["left_ms"] = toMilliseconds(this->state.stop->endsAt - now);
    }
    if (signal > 0) {
        fields["signal"] = signal;
    }
    logEvent(LogLevel::Info, phase, fields);
}

Asio::awaitable<void> EntryService::waitForEnd(MonotonicTime latest)
{
    Asio::steady_timer timer(this->context);
    while (this->callers.openConnections() > 0 && monotonicNow() < latest) {
        timer.expires_at(std::min(monotonicNow() + endCheckInterval, latest));
        boost::system::error_code ignored;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
}

void EntryService::interruptRequests(bool isWithAnswer)
{
    const int interrupted = this->state.requests.interrupt(isWithAnswer);
    this->state.stopCounts.interrupted += interrupted;
    if (interrupted > 0) {
        logEvent(LogLevel::Warning, "stop.interrupt", {{"interrupted", interrupted}, {"with_answer", isWithAnswer}});
    }
}

// The balancer sends to all instances of a failure domain while too few are in rotation, so the listener stays open while anything may arrive.
Asio::awaitable<void> EntryService::waitForQuiet()
{
    Asio::steady_timer timer(this->context);
    std::uint64_t accepted = this->callers.acceptedConnections();
    MonotonicTime quietSince = monotonicNow();
    MonotonicTime now = quietSince;
    while (now < this->state.stop->interruptAt && now - quietSince < quietTime) {
        timer.expires_at(std::min(now + tickInterval, this->state.stop->interruptAt));
        boost::system::error_code ignored;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        now = monotonicNow();
        if (this->callers.openConnections() > 0 || this->callers.acceptedConnections() != accepted) {
            accepted = this->callers.acceptedConnections();
            quietSince = now;
        }
    }
}

Asio::awaitable<void> EntryService::waitForStop()
{
    boost::system::error_code error;
    const int signal = co_await this->stopSignals.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
    this->state.stop = makeStopSchedule(monotonicNow(), this->state.settings.stopLimit);
    this->logStop("stopping", signal);
    // Callers that arrive before the balancer removes this instance are still served.
    this->callers.disableKeepAlive();
    Asio::steady_timer timer(this->context, this->state.stop->drainAt);
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
    this->logStop("stop.drain");
    this->callers.drain();
    co_await this->waitForQuiet();
    this->logStop("stop.close");
    this->callers.stop();
    co_await this->waitForEnd(this->state.stop->interruptAt);
    this->interruptRequests(false);
    co_await this->waitForEnd(this->state.stop->endsAt - lastAbortTime);
    // The connections of streams that have begun are closed inside the stream, so that it does not look complete.
    this->interruptRequests(true);
    co_await this->waitForEnd(this->state.stop->endsAt);
    for (const auto &follower : this->followers) {
        follower->stop();
    }
    this->context.stop();
}

} // namespace Godwitfork
