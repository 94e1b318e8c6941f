#include "LibEntry/PeerExchange.h"

#include "CatalogDecoder.h"
#include "LibCore/Digest.h"
#include "LibCore/Log.h"
#include "LibEntry/CatalogChanges.h"

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
/// Between two reports of an instance of a small fleet; half a latency objective of the shortest requests.
constexpr Duration reportInterval = std::chrono::milliseconds(300);
/// Added for each member, so that a hub of a large fleet spends a small part of its core on reports.
constexpr Duration reportIntervalPerMember = std::chrono::milliseconds(3);
/// An instance that was not heard for this long is no member.
constexpr Duration memberLifetime = std::chrono::seconds(5);
/// A hub that did not answer is passed over for this long.
constexpr Duration hubAvoidance = std::chrono::seconds(3);
/// Between two reports to a seed of an instance that knows the fleet.
constexpr Duration seedInterval = std::chrono::seconds(2);
constexpr Duration peerTimeout = std::chrono::milliseconds(400);
/// The store's own watch tells a new configuration within this; only then is it fetched from a peer.
constexpr Duration watchGrace = std::chrono::milliseconds(300);
/// A summary is encoded once for all instances that ask within this.
constexpr Duration summaryReuse = std::chrono::milliseconds(150);
/// Load of a summary that is older is not counted.
constexpr Duration loadLifetime = std::chrono::milliseconds(2500);

constexpr const char *reportPath = "/report";
constexpr const char *relayPath = "/catalog";
/// Smaller fleets watch the store directly, which saves the hubs' work.
constexpr std::size_t minRelayedMembers = 4;
constexpr const char *configurationPath = "/configuration";

HttpResponse refusal(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, nlohmann::json {{"error", {{"code", code}, {"message", message}}}}.dump());
}

HttpCallOptions peerOptions()
{
    HttpCallOptions options;
    options.connectTimeout = peerTimeout;
    options.responseTimeout = peerTimeout;
    options.idleTimeout = peerTimeout;
    options.tcpUserTimeout = peerTimeout;
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
    , board(memberLifetime)
    , fleet(memberLifetime)
{
}

void PeerExchange::start()
{
    this->server.start();
}

std::string PeerExchange::ownAddress() const
{
    return toText(this->state.settings.peers);
}

PeerReport PeerExchange::makeReport(MonotonicTime now) const
{
    PeerReport report;
    report.sender = {this->state.settings.instance, this->ownAddress(), static_cast<int>(this->state.settings.coreShare * 1000)};
    report.configuration = this->state.routes ? this->state.routes->configuration().version : 0;
    report.endpoints = this->state.chooser.loads().ownUse(now);
    report.paces = this->state.chooser.loads().ownPaces(now);
    this->state.addRetryUses(report.paces, now);
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

// A report to a seed now and then joins groups of instances that do not know of each other.
std::vector<HttpAddress> PeerExchange::receivers(MonotonicTime now)
{
    std::vector<HttpAddress> addresses;
    const std::vector<HttpAddress> &seeds = this->state.settings.seeds;
    if (this->fleet.members().size() < 2) {
        addresses = seeds;
    } else if (now >= this->nextSeedReport && !seeds.empty()) {
        this->nextSeedReport = now + seedInterval;
        addresses.push_back(seeds[this->state.random() % seeds.size()]);
    }
    std::vector<std::string> avoided;
    for (const auto &[address, link] : this->links) {
        if (link.avoidedUntil > now) {
            avoided.push_back(toText(address));
        }
    }
    for (const std::string &hub : chooseHubs(this->fleet.members(), avoided)) {
        const HttpAddress address = parseHttpAddress(hub);
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void PeerExchange::tick(MonotonicTime now)
{
    if (now - this->summaryAt > loadLifetime) {
        this->otherUses.clear();
        this->state.chooser.loads().setPeerUse({}, {});
        this->state.shareSpareRetries({}, this->liveInstances());
    }
    if (now < this->nextReport && !this->isUrgent()) {
        return;
    }
    this->nextReport = now + reportInterval + reportIntervalPerMember * static_cast<int>(this->fleet.members().size());
    PeerReport report = this->makeReport(now);
    report.placements = this->state.chooser.takePlacements();
    report.fleetHash = fleetHash(this->fleet.members());
    this->reportedConfiguration = report.configuration;
    for (const TrialReport &trial : report.trials) {
        if (trial.isBad) {
            this->reportedBad.insert(trial.service);
        }
    }
    this->board.expire(now);
    this->board.take(report, now);
    this->fleet.mention({report.sender}, now);
    this->fleet.expire(now);
    const std::vector<HttpAddress> receivers = this->receivers(now);
    if (receivers.empty()) {
        return;
    }
    const HttpAddress answering = this->ownHub(receivers);
    for (const HttpAddress &hub : receivers) {
        if (hub == this->state.settings.peers) {
            this->takeSummary(this->board.summary(now), report, now);
            continue;
        }
        Link &link = this->links[hub];
        if (link.busy) {
            continue;
        }
        link.busy = true;
        report.wantsSummary = hub == answering || this->fleet.members().size() < minRelayedMembers;
        link.sent = report;
        std::string body = encodePeerReport(report);
        Asio::co_spawn(
            this->context, [this, hub, body = std::move(body)]() -> Asio::awaitable<void> { co_await this->send(hub, body); }, Asio::detached);
    }
}

Asio::awaitable<void> PeerExchange::send(HttpAddress address, std::string body)
{
    const auto response = co_await this->client.call(address, makeRequest("POST", reportPath, std::move(body)), peerOptions());
    const MonotonicTime now = monotonicNow();
    Link &link = this->links[address];
    link.busy = false;
    if (!response || response.value().status != 200) {
        if (link.avoidedUntil <= now) {
            logEvent(LogLevel::Info, "peer.silent", {{"peer", toText(address)}, {"message", response ? "refused" : response.error().message}});
        }
        link.avoidedUntil = now + hubAvoidance;
        co_return;
    }
    link.avoidedUntil = {};
    if (!link.sent.wantsSummary) {
        co_return;
    }
    const auto summary = decodePeerSummary(response.value().body);
    if (!summary) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", summary.error().message}});
        co_return;
    }
    this->takeSummary(summary.value(), link.sent, now);
}

void PeerExchange::takeSummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now)
{
    applyLeaving(this->state, summary.leaving);
    this->applyPlacements(summary.placements);
    this->noticeConfiguration(summary.configurationHolder, summary.configuration);
    // A hub that few report to knows less than the other one.
    const std::size_t previous = this->fleet.members().size();
    // Without a list both sides know the same members.
    this->fleet.mention(summary.members.empty() ? this->fleet.members() : summary.members, now);
    if (this->fleet.members().size() != previous) {
        logEvent(LogLevel::Info, "peer.members", {{"members", this->fleet.members().size()}, {"previous", previous}});
    }
    const bool isFresh = now - this->summaryAt < reportInterval * 2;
    const auto memberCount = static_cast<std::size_t>(std::max<std::int64_t>(0, summary.memberCount));
    if (isFresh && memberCount < this->summaryMembers) {
        return;
    }
    this->summaryMembers = memberCount;
    this->summaryAt = now;
    this->otherUses = withoutOwn(summary.endpoints, own.endpoints);
    this->state.chooser.loads().setPeerUse(this->otherUses, withoutOwn(summary.paces, own.paces));
    this->state.shareSpareRetries(summary.paces, this->liveInstances());
    for (TrialReport trial : summary.trials) {
        for (const TrialReport &sent : own.trials) {
            if (sent.service == trial.service && sent.target == trial.target) {
                trial.observations = withoutOwn(trial.observations, sent.observations);
            }
        }
        this->state.versions.mergeOthers(trial, now);
    }
}

void PeerExchange::applyPlacements(const CachePlacements &placements)
{
    for (const auto &[id, parts] : placements) {
        const EndpointEntry *endpoint = this->state.endpoints.find(id);
        const ServiceProperties *service = endpoint && this->state.routes ? this->state.routes->findService(endpoint->service) : nullptr;
        if (service && service->engine) {
            this->state.chooser.recordPlacement(id, parts, service->engine->memoryTokens);
        }
    }
}

void PeerExchange::noticeConfiguration(const std::string &holder, ConfigurationVersion version)
{
    // A first configuration is read from the store itself, since a peer may be behind it.
    if (!this->state.routes || version <= this->state.routes->configuration().version || version <= this->fetching) {
        return;
    }
    const HttpAddress address = parseHttpAddress(holder);
    if (address.host.empty()) {
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
        // The next summary tells the version again.
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

const std::string &PeerExchange::encodedSummary(const PeerReport &report, MonotonicTime now)
{
    if (this->summaryBytes.empty() || now - this->summaryBytesAt > summaryReuse) {
        PeerSummary summary = this->board.summary(now);
        this->boardHash = fleetHash(summary.members);
        this->summaryBytesWithMembers = encodePeerSummary(summary);
        summary.members.clear();
        this->summaryBytes = encodePeerSummary(summary);
        this->summaryBytesAt = now;
    }
    return report.fleetHash == this->boardHash ? this->summaryBytes : this->summaryBytesWithMembers;
}

Asio::awaitable<void> PeerExchange::serve(HttpExchange &exchange)
{
    HttpResponse response;
    const std::string path = targetPath(exchange.request().target);
    if (path == configurationPath) {
        response.status = this->state.configurationSource.empty() ? 503 : 200;
        response.body = this->state.configurationSource;
    } else if (path == relayPath && this->relayHandler) {
        co_await this->relayHandler(exchange);
        co_return;
    } else if (path == reportPath) {
        const MonotonicTime now = monotonicNow();
        const auto report = decodePeerReport(exchange.request().body);
        if (report) {
            this->board.take(report.value(), now);
            if (report.value().wantsSummary) {
                response.body = this->encodedSummary(report.value(), now);
            }
        } else {
            logEvent(LogLevel::Warning, "peer.malformed", {{"message", report.error().message}});
            response.status = 400;
        }
    } else {
        response.status = 404;
    }
    co_await exchange.respond(std::move(response));
}

int PeerExchange::rankFor(const std::string &task) const
{
    return memberRank(this->fleet.members(), this->state.settings.instance, task);
}

int PeerExchange::runningOutside(const std::string &service, const std::string &version) const
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
    for (const auto &[id, use] : this->otherUses) {
        add(id, use.running);
    }
    return running;
}

std::optional<HttpAddress> PeerExchange::relayHub() const
{
    const MonotonicTime now = monotonicNow();
    if (this->fleet.members().size() < minRelayedMembers || now - this->summaryAt > memberLifetime) {
        return std::nullopt;
    }
    const std::vector<std::string> hubs = chooseHubs(this->fleet.members(), {});
    std::vector<HttpAddress> usable;
    for (const std::string &hub : hubs) {
        const HttpAddress address = parseHttpAddress(hub);
        if (address == this->state.settings.peers) {
            return std::nullopt;
        }
        const auto link = this->links.find(address);
        if (link == this->links.end() || link->second.avoidedUntil <= now) {
            usable.push_back(address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return this->ownHub(usable);
}

HttpAddress PeerExchange::ownHub(const std::vector<HttpAddress> &hubs) const
{
    return hubs[hash64(this->state.settings.instance) % hubs.size()];
}

void PeerExchange::avoidHub(const HttpAddress &hub)
{
    this->links[hub].avoidedUntil = monotonicNow() + hubAvoidance;
}

void PeerExchange::setRelayHandler(HttpHandler handler)
{
    this->relayHandler = std::move(handler);
}

bool PeerExchange::hasFreshSummary() const
{
    return this->knowsFleet() && monotonicNow() - this->summaryAt < loadLifetime;
}

bool PeerExchange::knowsFleet() const
{
    return this->fleet.members().size() > 1;
}

int PeerExchange::liveInstances() const
{
    return std::max<int>(1, static_cast<int>(this->fleet.members().size()));
}

} // namespace Godwitfork
