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
/// Base interval between reports of an instance; half the latency objective of the shortest requests.
constexpr Duration reportInterval = std::chrono::milliseconds(300);
/// Added to the report interval per member, so that a hub of a large fleet spends only a small part of its core on reports.
constexpr Duration reportIntervalPerMember = std::chrono::milliseconds(3);
/// Membership timeout: time without a report after which an instance is no longer a member.
constexpr Duration membershipTimeout = std::chrono::seconds(5);
/// Time for which a hub that did not answer is excluded.
constexpr Duration hubExclusionTime = std::chrono::seconds(3);
/// Interval between reports to a seed once other members are known.
constexpr Duration seedReportInterval = std::chrono::seconds(2);
constexpr Duration peerTimeout = std::chrono::milliseconds(400);
/// Time for the watch of the store to return a new configuration before it is fetched from a peer.
constexpr Duration watchGracePeriod = std::chrono::milliseconds(300);
/// Time for which an encoded summary is reused for all reporting instances.
constexpr Duration summaryCacheTime = std::chrono::milliseconds(150);
/// Age at which a summary is stale and its load is no longer counted.
constexpr Duration maxSummaryAge = std::chrono::milliseconds(2500);

constexpr const char *reportPath = "/report";
constexpr const char *relayPath = "/catalog";
/// Smallest fleet that uses relays. In smaller ones every instance watches the store itself, which relieves the hubs.
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
    , board(membershipTimeout, state.settings.sessionLifetime)
    , fleet(membershipTimeout)
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
    report.endpoints = this->state.chooser.loads().ownUsage(now);
    report.statistics = this->state.chooser.loads().ownStatistics(now);
    this->state.addRetryCounts(report.statistics, now);
    for (const EndpointEntry *endpoint : this->state.endpoints.draining()) {
        report.leaving.push_back({endpoint->id, endpoint->incarnation});
    }
    for (const auto &[endpoint, since] : this->state.recentlyRemoved) {
        report.leaving.push_back(endpoint);
    }
    report.trials = this->state.versions.reports(now);
    return report;
}

bool PeerExchange::hasUrgentChanges() const
{
    if (this->state.routes && this->state.routes->configuration().version != this->reportedConfiguration) {
        return true;
    }
    const auto &rollouts = this->state.versions.rollouts();
    return std::any_of(
        rollouts.begin(), rollouts.end(), [this](const auto &entry) { return entry.second.isBad && !this->reportedBadServices.contains(entry.first); });
}

// Periodic reports to a random seed merge partitions of the fleet that have not discovered each other.
std::vector<HttpAddress> PeerExchange::reportTargets(MonotonicTime now)
{
    std::vector<HttpAddress> addresses;
    const std::vector<HttpAddress> &seeds = this->state.settings.seeds;
    if (this->fleet.members().size() < 2) {
        addresses = seeds;
    } else if (now >= this->nextSeedReport && !seeds.empty()) {
        this->nextSeedReport = now + seedReportInterval;
        addresses.push_back(seeds[this->state.random() % seeds.size()]);
    }
    std::vector<std::string> excluded;
    for (const auto &[address, link] : this->links) {
        if (link.excludedUntil > now) {
            excluded.push_back(toText(address));
        }
    }
    for (const std::string &hub : chooseHubs(this->fleet.members(), excluded)) {
        const HttpAddress address = parseHttpAddress(hub);
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void PeerExchange::tick(MonotonicTime now)
{
    if (now - this->summaryReceivedAt > maxSummaryAge) {
        this->peerUses.clear();
        this->state.chooser.loads().setPeerUsage({}, {}, now);
        this->state.distributeUnusedRetries({}, this->liveInstanceCount());
    }
    if (now < this->nextReport && !this->hasUrgentChanges()) {
        return;
    }
    this->nextReport = now + reportInterval + reportIntervalPerMember * static_cast<int>(this->fleet.members().size());
    PeerReport report = this->makeReport(now);
    report.placements = this->state.chooser.takePlacements();
    report.fleetHash = fleetHash(this->fleet.members());
    this->reportedConfiguration = report.configuration;
    for (const TrialReport &trial : report.trials) {
        if (trial.isBad) {
            this->reportedBadServices.insert(trial.service);
        }
    }
    this->board.expire(now);
    this->board.record(report, now);
    this->fleet.refresh({report.sender}, now);
    this->fleet.expire(now);
    const std::vector<HttpAddress> reportTargets = this->reportTargets(now);
    if (reportTargets.empty()) {
        return;
    }
    const HttpAddress summaryHub = this->assignedHub(reportTargets);
    for (const HttpAddress &hub : reportTargets) {
        if (hub == this->state.settings.peers) {
            this->applySummary(this->board.summary(now), report, now);
            continue;
        }
        PeerLink &link = this->links[hub];
        if (link.busy) {
            continue;
        }
        link.busy = true;
        report.wantsSummary = hub == summaryHub || this->fleet.members().size() < minRelayedMembers;
        link.sent = report;
        std::string body = encodePeerReport(report);
        Asio::co_spawn(
            this->context, [this, hub, body = std::move(body)]() -> Asio::awaitable<void> { co_await this->sendReport(hub, body); }, Asio::detached);
    }
}

Asio::awaitable<void> PeerExchange::sendReport(HttpAddress address, std::string body)
{
    const auto response = co_await this->client.call(address, makeRequest("POST", reportPath, std::move(body)), peerOptions());
    const MonotonicTime now = monotonicNow();
    PeerLink &link = this->links[address];
    link.busy = false;
    if (!response || response.value().status != 200) {
        if (link.excludedUntil <= now) {
            logEvent(LogLevel::Info, "peer.silent", {{"peer", toText(address)}, {"message", response ? "refused" : response.error().message}});
        }
        link.excludedUntil = now + hubExclusionTime;
        co_return;
    }
    link.excludedUntil = {};
    if (!link.sent.wantsSummary) {
        co_return;
    }
    const auto summary = decodePeerSummary(response.value().body);
    if (!summary) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", summary.error().message}});
        co_return;
    }
    this->applySummary(summary.value(), link.sent, now);
}

void PeerExchange::applySummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now)
{
    applyLeavingEndpoints(this->state, summary.leaving);
    this->applyPlacements(summary.placements);
    this->fetchNewerConfiguration(summary.configurationHolder, summary.configuration);
    const std::size_t previous = this->fleet.members().size();
    // The summary omits the list if both sides have the same members.
    this->fleet.refresh(summary.members.empty() ? this->fleet.members() : summary.members, now);
    if (this->fleet.members().size() != previous) {
        logEvent(LogLevel::Info, "peer.members", {{"members", this->fleet.members().size()}, {"previous", previous}});
    }
    // A hub that receives fewer reports has less complete totals: keep a fresh summary that covers more members.
    const bool isFresh = now - this->summaryReceivedAt < reportInterval * 2;
    const auto memberCount = static_cast<std::size_t>(std::max<std::int64_t>(0, summary.memberCount));
    if (isFresh && memberCount < this->summaryMemberCount) {
        return;
    }
    this->summaryMemberCount = memberCount;
    this->summaryReceivedAt = now;
    this->peerUses = withoutOwn(summary.endpoints, own.endpoints);
    this->state.chooser.loads().setPeerUsage(this->peerUses, withoutOwn(summary.statistics, own.statistics), now);
    this->state.distributeUnusedRetries(summary.statistics, this->liveInstanceCount());
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

void PeerExchange::fetchNewerConfiguration(const std::string &holder, ConfigurationVersion version)
{
    // The first configuration is read from the store itself, since a peer's version may be older.
    if (!this->state.routes || version <= this->state.routes->configuration().version || version <= this->fetchingVersion) {
        return;
    }
    const HttpAddress address = parseHttpAddress(holder);
    if (address.host.empty()) {
        return;
    }
    this->fetchingVersion = version;
    Asio::co_spawn(
        this->context, [this, address, version]() -> Asio::awaitable<void> { co_await this->fetchConfiguration(address, version); }, Asio::detached);
}

Asio::awaitable<void> PeerExchange::fetchConfiguration(HttpAddress address, ConfigurationVersion version)
{
    Asio::steady_timer timer(this->context, watchGracePeriod);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    if (this->state.routes->configuration().version >= version) {
        co_return;
    }
    const auto response = co_await this->client.call(address, makeRequest("GET", configurationPath), peerOptions());
    if (!response || response.value().status != 200) {
        // Allows another attempt when the next summary reports the version.
        this->fetchingVersion = 0;
        co_return;
    }
    const CatalogChange change = Platform::decodeConfigurationSource(response.value().body);
    if (!change.object) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", change.problem}});
        this->fetchingVersion = 0;
        co_return;
    }
    adoptConfiguration(this->state, change, "peer", monotonicNow());
}

const std::string &PeerExchange::encodedSummary(const PeerReport &report, MonotonicTime now)
{
    if (this->summaryBytes.empty() || now - this->summaryEncodedAt > summaryCacheTime) {
        PeerSummary summary = this->board.summary(now);
        this->summaryMembersHash = fleetHash(summary.members);
        this->summaryBytesWithMembers = encodePeerSummary(summary);
        summary.members.clear();
        this->summaryBytes = encodePeerSummary(summary);
        this->summaryEncodedAt = now;
    }
    return report.fleetHash == this->summaryMembersHash ? this->summaryBytes : this->summaryBytesWithMembers;
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
            this->board.record(report.value(), now);
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

int PeerExchange::runningOnOtherVersions(const std::string &service, const std::string &version) const
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
    for (const auto &[id, use] : this->peerUses) {
        add(id, use.running);
    }
    return running;
}

std::optional<HttpAddress> PeerExchange::relayHub() const
{
    const MonotonicTime now = monotonicNow();
    if (this->fleet.members().size() < minRelayedMembers || now - this->summaryReceivedAt > membershipTimeout) {
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
        if (link == this->links.end() || link->second.excludedUntil <= now) {
            usable.push_back(address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return this->assignedHub(usable);
}

HttpAddress PeerExchange::assignedHub(const std::vector<HttpAddress> &hubs) const
{
    return hubs[hash64(this->state.settings.instance) % hubs.size()];
}

void PeerExchange::excludeHub(const HttpAddress &hub)
{
    this->links[hub].excludedUntil = monotonicNow() + hubExclusionTime;
}

void PeerExchange::setRelayHandler(HttpHandler handler)
{
    this->relayHandler = std::move(handler);
}

bool PeerExchange::hasFreshSummary() const
{
    return this->hasOtherMembers() && monotonicNow() - this->summaryReceivedAt < maxSummaryAge;
}

bool PeerExchange::hasOtherMembers() const
{
    return this->fleet.members().size() > 1;
}

int PeerExchange::liveInstanceCount() const
{
    return std::max<int>(1, static_cast<int>(this->fleet.members().size()));
}

} // namespace Godwitfork
