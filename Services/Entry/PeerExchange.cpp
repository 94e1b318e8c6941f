#include "PeerExchange.h"

#include "CatalogChanges.h"
#include "CatalogDecoder.h"
#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Between two reports whose content changed.
constexpr Duration reportInterval = std::chrono::milliseconds(500);
/// Between two reports that say the same; shows that the instance lives.
constexpr Duration repeatInterval = std::chrono::seconds(2);
/// An instance that was not heard for this long is not counted among the live ones.
constexpr Duration liveLimit = std::chrono::seconds(5);
/// A peer that is not a seed is forgotten after this.
constexpr Duration forgetLimit = std::chrono::seconds(30);
/// Silent peers are tried again after this.
constexpr Duration retryInterval = std::chrono::seconds(2);
constexpr Duration peerTimeout = std::chrono::milliseconds(400);
/// The store's own watch tells a new configuration within this; only then is it fetched from a peer.
constexpr Duration watchGrace = std::chrono::milliseconds(300);
/// Load that a peer reported longer ago is not counted.
constexpr Duration loadLifetime = std::chrono::milliseconds(2500);

constexpr const char *reportPath = "/report";
constexpr const char *configurationPath = "/configuration";

HttpResponse refusal(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, nlohmann::json {{"error", {{"code", code}, {"message", message}}}}.dump());
}

HttpCallOptions peerOptions()
{
    HttpCallOptions options;
    options.connectTimeout = peerTimeout;
    options.answerTimeout = peerTimeout;
    options.idleTimeout = peerTimeout;
    options.unacknowledgedLimit = peerTimeout;
    return options;
}
} // namespace

PeerExchange::PeerExchange(Asio::io_context &context, HttpClient &client, EntryState &state)
    : context(context)
    , client(client)
    , state(state)
    , server(
          context,
          state.settings.peers,
          {},
          [this](HttpExchange &exchange) { return this->serve(exchange); },
          refusal)
{
    for (const HttpAddress &seed : state.settings.seeds) {
        if (seed != state.settings.peers) {
            this->peers[seed].isSeed = true;
        }
    }
}

void PeerExchange::start()
{
    this->server.start();
}

void PeerExchange::stop()
{
    this->server.stop();
}

void PeerExchange::learn(const std::string &text)
{
    const HttpAddress address = parseHttpAddress(text);
    if (!address.host.empty() && address != this->state.settings.peers && !this->peers.contains(address)) {
        this->peers[address].lastHeard = monotonicNow();
    }
}

PeerReport PeerExchange::makeReport(MonotonicTime now) const
{
    PeerReport report;
    report.instance = this->state.settings.instance;
    report.address = toText(this->state.settings.peers);
    for (const auto &[address, peer] : this->peers) {
        if (now - peer.lastHeard < liveLimit) {
            report.known.push_back(toText(address));
        }
    }
    report.configuration = this->state.routes ? this->state.routes->configuration().version : 0;
    for (const auto &[id, load] : this->state.chooser.loads().all()) {
        if (load.running > 0) {
            report.endpoints[id] = {load.running, load.pendingPrompts};
        }
    }
    for (const EndpointEntry *endpoint : this->state.endpoints.draining()) {
        report.leaving.push_back({endpoint->id, endpoint->incarnation});
    }
    for (const auto &[endpoint, since] : this->state.recentlyLeft) {
        report.leaving.push_back(endpoint);
    }
    for (const auto &[service, rollout] : this->state.versions.rollouts()) {
        report.trials.push_back({service, rollout.order.target, rollout.order.state, now - rollout.since, rollout.isBad, rollout.own});
    }
    return report;
}

bool PeerExchange::isUrgent() const
{
    if (this->state.routes && this->state.routes->configuration().version != this->reportedConfiguration) {
        return true;
    }
    const auto &rollouts = this->state.versions.rollouts();
    return std::any_of(rollouts.begin(), rollouts.end(), [this](const auto &entry) { return entry.second.isBad && !this->reportedBad.contains(entry.first); });
}

void PeerExchange::tick(MonotonicTime now)
{
    this->shareLoads(now);
    if (now < this->nextReport && !this->isUrgent()) {
        return;
    }
    this->nextReport = now + reportInterval;
    PeerReport report = this->makeReport(now);
    const std::string body = encodePeerReport(report);
    // Ages grow by themselves and are no news.
    for (TrialReport &trial : report.trials) {
        trial.age = Duration::zero();
    }
    const std::string content = encodePeerReport(report);
    if (content == this->lastReport && now - this->lastReportAt < repeatInterval) {
        return;
    }
    this->lastReport = content;
    this->lastReportAt = now;
    this->reportedConfiguration = report.configuration;
    for (const TrialReport &trial : report.trials) {
        if (trial.isBad) {
            this->reportedBad.insert(trial.service);
        }
    }
    std::erase_if(this->peers, [&](const auto &entry) { return !entry.second.isSeed && !entry.second.busy && now - entry.second.lastHeard > forgetLimit; });
    for (auto &[address, peer] : this->peers) {
        const bool isSilent = now - peer.lastHeard > liveLimit;
        if (peer.busy || (isSilent && now - peer.lastTried < retryInterval)) {
            continue;
        }
        peer.busy = true;
        peer.lastTried = now;
        Asio::co_spawn(
            this->context, [this, address = address, body]() -> Asio::awaitable<void> { co_await this->send(address, body); }, Asio::detached);
    }
}

Asio::awaitable<void> PeerExchange::send(HttpAddress address, std::string body)
{
    HttpRequest request = makeRequest("POST", reportPath, std::move(body));
    const auto response = co_await this->client.call(address, std::move(request), peerOptions());
    const auto peer = this->peers.find(address);
    if (peer == this->peers.end()) {
        co_return;
    }
    peer->second.busy = false;
    if (!response || response.value().status != 200) {
        co_return;
    }
    const MonotonicTime now = monotonicNow();
    const auto report = decodePeerReport(response.value().body);
    if (!report) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", report.error().message}});
        co_return;
    }
    this->takeReport(report.value(), now);
}

void PeerExchange::takeReport(const PeerReport &report, MonotonicTime now)
{
    const HttpAddress address = parseHttpAddress(report.address);
    if (address.host.empty() || address == this->state.settings.peers) {
        return;
    }
    Peer &peer = this->peers[address];
    if (peer.instance != report.instance) {
        peer.instance = report.instance;
        logEvent(LogLevel::Info, "peer.known", {{"peer", report.instance}, {"address", report.address}});
    }
    peer.lastHeard = now;
    peer.endpoints = report.endpoints;
    for (const std::string &known : report.known) {
        this->learn(known);
    }
    applyLeaving(this->state, report.leaving);
    for (const TrialReport &trial : report.trials) {
        this->state.versions.mergePeer(report.instance, trial, now);
    }
    this->noticeConfiguration(address, report.configuration);
}

void PeerExchange::noticeConfiguration(const HttpAddress &address, ConfigurationVersion version)
{
    // A first configuration is read from the store itself, since a peer may be behind it.
    if (!this->state.routes || version <= this->state.routes->configuration().version || version <= this->fetching) {
        return;
    }
    this->fetching = version;
    Asio::co_spawn(
        this->context, [this, address, version]() -> Asio::awaitable<void> { co_await this->fetchConfiguration(address, version); }, Asio::detached);
}

Asio::awaitable<void> PeerExchange::fetchConfiguration(HttpAddress address, ConfigurationVersion version)
{
    Asio::steady_timer timer(this->context, watchGrace);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    if (this->state.routes->configuration().version >= version) {
        co_return;
    }
    const auto response = co_await this->client.call(address, makeRequest("GET", configurationPath), peerOptions());
    if (!response || response.value().status != 200) {
        // The next report tells the version again.
        this->fetching = 0;
        co_return;
    }
    const CatalogChange change = Platform::decodeConfigurationSource(response.value().body);
    if (!change.object) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", change.problem}});
        this->fetching = 0;
        co_return;
    }
    adoptConfiguration(this->state, change, "peer", monotonicNow());
}

Asio::awaitable<void> PeerExchange::serve(HttpExchange &exchange)
{
    HttpResponse response;
    const std::string path = targetPath(exchange.request().target);
    if (path == configurationPath) {
        response.status = this->state.configurationSource.empty() ? 503 : 200;
        response.body = this->state.configurationSource;
    } else if (path == reportPath) {
        const MonotonicTime now = monotonicNow();
        const auto report = decodePeerReport(exchange.request().body);
        if (report) {
            this->takeReport(report.value(), now);
            response.body = encodePeerReport(this->makeReport(now));
        } else {
            logEvent(LogLevel::Warning, "peer.malformed", {{"message", report.error().message}});
            response.status = 400;
        }
    } else {
        response.status = 404;
    }
    co_await exchange.respond(std::move(response));
}

void PeerExchange::shareLoads(MonotonicTime now)
{
    std::map<std::string, EndpointUse> total;
    for (const auto &[address, peer] : this->peers) {
        if (now - peer.lastHeard > loadLifetime) {
            continue;
        }
        for (const auto &[id, use] : peer.endpoints) {
            total[id].running += use.running;
            total[id].pendingPrompts += use.pendingPrompts;
        }
    }
    this->state.chooser.loads().setPeerUse(total);
}

int PeerExchange::rankFor(const std::string &task, MonotonicTime now) const
{
    const std::uint64_t own = rendezvousScore(task, this->state.settings.instance);
    return static_cast<int>(std::count_if(this->peers.begin(), this->peers.end(), [&](const auto &entry) {
        return now - entry.second.lastHeard < liveLimit && !entry.second.instance.empty() && rendezvousScore(task, entry.second.instance) > own;
    }));
}

int PeerExchange::runningOutside(const std::string &service, const std::string &version, MonotonicTime now) const
{
    int running = 0;
    const auto add = [&](const std::string &id, int requests) {
        const EndpointEntry *endpoint = this->state.endpoints.find(id);
        if (endpoint && endpoint->service == service && endpoint->version != version) {
            running += requests;
        }
    };
    for (const auto &[id, load] : this->state.chooser.loads().all()) {
        add(id, load.running);
    }
    for (const auto &[address, peer] : this->peers) {
        if (now - peer.lastHeard <= loadLifetime) {
            for (const auto &[id, use] : peer.endpoints) {
                add(id, use.running);
            }
        }
    }
    return running;
}

int PeerExchange::liveInstances(MonotonicTime now) const
{
    return 1
        + static_cast<int>(std::count_if(this->peers.begin(), this->peers.end(), [&](const auto &entry) { return now - entry.second.lastHeard < liveLimit; }));
}

} // namespace Godwitfork
