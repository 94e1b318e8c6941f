#include "LibEntry/PeerExchange.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"
#include "LibEntry/CatalogChanges.h"
#include "LibEntry/PeerCalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Base interval between reports of an instance; half the latency objective of the shortest requests.
constexpr Duration reportInterval = std::chrono::milliseconds(300);
/// Added to the report interval per member of the failure domain, so that its hub spends only a small part of its core on reports.
constexpr Duration reportIntervalPerMember = std::chrono::milliseconds(4);
/// Bytes of summaries that an instance accepts for each second; larger summaries are requested less often.
constexpr std::int64_t summaryBytesPerSecond = 16 * 1024;
/// Longest interval between reports, which keeps a summary younger than `maxSummaryAge` if one report is lost.
constexpr Duration maxReportInterval = std::chrono::milliseconds(1200);
/// Membership timeout: time without a report after which an instance is no longer a member.
constexpr Duration membershipTimeout = std::chrono::seconds(5);
/// Interval between reports to a seed once other members are known.
constexpr Duration seedReportInterval = std::chrono::seconds(2);
/// Interval in the first seconds of the process, while the fleet may be starting and members are learned from the seeds.
constexpr Duration initialSeedReportInterval = std::chrono::milliseconds(700);
constexpr Duration initialPeriod = std::chrono::seconds(5);
/// Time for which an encoded summary is reused for all reporting instances.
constexpr Duration summaryCacheTime = std::chrono::milliseconds(150);
constexpr const char *reportPath = "/report";
constexpr const char *relayPath = "/catalog";
/// Smallest fleet that uses relays. In smaller ones every instance watches the store itself, which relieves the hubs.
constexpr std::size_t minRelayedMembers = 4;

HttpResponse refusal(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, nlohmann::json {{"error", {{"code", code}, {"message", message}}}}.dump());
}

} // namespace

PeerExchange::PeerExchange(Asio::io_context &context, HttpClient &client, EntryState &state)
    : context(context)
    , client(client)
    , state(state)
    , server(
          context,
          state.settings.peers,
          peerListenerLimits(state.settings),
          [this](HttpExchange &exchange) { return this->serve(exchange); },
          refusal)
    , board(membershipTimeout, state.settings.sessionLifetime)
    , directory(toText(state.settings.peers), state.settings.failureDomain, membershipTimeout)
    , domains(context, client, state.settings, this->board, this->directory)
    , configurationFetcher(context, client, state)
    , startedAt(monotonicNow())
{
}

std::string PeerExchange::ownAddress() const
{
    return toText(this->state.settings.peers);
}

PeerReport PeerExchange::makeReport(MonotonicTime now) const
{
    PeerReport report;
    const EntrySettings &settings = this->state.settings;
    report.sender = {settings.instance, this->ownAddress(), static_cast<int>(settings.coreShare * 1000), settings.failureDomain};
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
    for (const auto &[endpoint, announced] : this->state.announcements.states()) {
        if (announced.leavingSince && this->state.endpoints.find(endpoint)) {
            report.leaving.push_back({endpoint, announced.incarnation});
        }
    }
    report.trials = this->state.versions.reports(now);
    report.promptEvidence = this->state.promptQuarantine.report(now);
    report.limits = this->state.announcements.report(now);
    return report;
}

bool PeerExchange::hasUrgentChanges() const
{
    if (this->state.routes && this->state.routes->configuration().version != this->reportedConfiguration) {
        return true;
    }
    if (this->state.promptQuarantine.recordedCrashes() != this->reportedCrashes) {
        return true;
    }
    const auto &rollouts = this->state.versions.rollouts();
    return std::any_of(
        rollouts.begin(), rollouts.end(), [this](const auto &entry) { return entry.second.isBad && !this->reportedBadServices.contains(entry.first); });
}

// Periodic reports to a random seed merge partitions of the fleet that have not discovered each other.
std::vector<HttpAddress> PeerExchange::seedTargets(MonotonicTime now)
{
    const std::vector<HttpAddress> &seeds = this->state.settings.seeds;
    if (!this->hasOtherMembers()) {
        return seeds;
    }
    if (now < this->nextSeedReport || seeds.empty()) {
        return {};
    }
    this->nextSeedReport = now + (now - this->startedAt < initialPeriod ? initialSeedReportInterval : seedReportInterval);
    return {seeds[this->state.random() % seeds.size()]};
}

Duration PeerExchange::reportDelay() const
{
    const Duration bySize = reportInterval + reportIntervalPerMember * static_cast<int>(this->directory.ownDomainSize());
    const Duration byBytes = std::chrono::microseconds(static_cast<std::int64_t>(this->summarySize) * 1'000'000 / summaryBytesPerSecond);
    return std::min(std::max(bySize, byBytes), maxReportInterval);
}

void PeerExchange::tick(MonotonicTime now)
{
    if (now - this->summaryReceivedAt > maxSummaryAge) {
        this->state.chooser.loads().setPeerUsage({}, {}, now);
        this->state.distributeUnusedRetries({}, this->liveInstanceCount());
    }
    this->domains.tick(now);
    if (now < this->nextReport && !this->hasUrgentChanges()) {
        return;
    }
    this->nextReport = now + this->reportDelay();
    PeerReport report = this->makeReport(now);
    report.placements = this->state.chooser.takePlacements();
    report.fleetHash = fleetHash(this->directory.fleet().members());
    this->reportedConfiguration = report.configuration;
    this->reportedCrashes = this->state.promptQuarantine.recordedCrashes();
    for (const TrialReport &trial : report.trials) {
        if (trial.isBad) {
            this->reportedBadServices.insert(trial.service);
        }
    }
    this->board.expire(now);
    this->board.record(report, now);
    this->domains.expire(now);
    this->directory.fleet().record(report.sender, now);
    this->directory.expire(now);
    this->logHubRole(now);
    std::vector<HttpAddress> targets = this->seedTargets(now);
    const std::vector<std::string> hubs = this->directory.ownHubs(now);
    // Excluded members are contacted again, so that one that answers can be chosen; nothing depends on their answer.
    std::vector<std::string> contacts = hubs;
    const std::vector<std::string> probes = this->directory.dueProbes(now);
    contacts.insert(contacts.end(), probes.begin(), probes.end());
    for (const std::string &contact : contacts) {
        const HttpAddress address = parseHttpAddress(contact);
        if (std::find(targets.begin(), targets.end(), address) == targets.end()) {
            targets.push_back(address);
        }
    }
    for (const HttpAddress &target : targets) {
        const bool isPrimary = !hubs.empty() && toText(target) == hubs.front();
        if (target == this->state.settings.peers) {
            if (isPrimary) {
                this->applySummary(this->domains.total(now), report, now);
            }
            continue;
        }
        PeerLink &link = this->links[target];
        if (link.busy) {
            continue;
        }
        link.busy = true;
        report.wantsSummary = isPrimary || this->directory.fleet().members().size() < minRelayedMembers;
        link.sent = report;
        Asio::co_spawn(
            this->context,
            [this, target, body = encodePeerReport(report)]() -> Asio::awaitable<void> { co_await this->sendReport(target, body); },
            Asio::detached);
    }
}

void PeerExchange::logHubRole(MonotonicTime now)
{
    const bool isHub = this->directory.isPrimary(now);
    if (isHub != this->wasPrimary) {
        this->wasPrimary = isHub;
        logEvent(LogLevel::Info,
                 isHub ? "peer.hub_started" : "peer.hub_ended",
                 {{"failure_domain", this->state.settings.failureDomain},
                  {"domain_members", this->directory.ownDomainSize()},
                  {"members", this->directory.fleet().members().size()}});
    }
}

Asio::awaitable<void> PeerExchange::sendReport(HttpAddress address, std::string body)
{
    const auto response = co_await this->client.call(address, makeRequest("POST", reportPath, std::move(body)), peerCallOptions());
    const MonotonicTime now = monotonicNow();
    PeerLink &link = this->links[address];
    link.busy = false;
    recordPeerAnswer(this->directory, address, response, now);
    // The answer is empty if no summary was requested.
    if (!isPeerAnswered(response) || response.value().body.empty()) {
        co_return;
    }
    this->summarySize = response.value().body.size();
    const auto summary = decodePeerSummary(response.value().body);
    if (!summary) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", summary.error().message}});
        co_return;
    }
    this->recordFaults(toText(address), summary.value().faults, now);
    this->applySummary(summary.value(), link.sent, now);
}

void PeerExchange::recordFaults(const std::string &peer, const ItemFaults &faults, MonotonicTime now)
{
    for (const auto &[fault, count] : faults) {
        recordIgnored(this->state.ignoredItems, {"peer", fault, peer, 0, {}, count}, now);
    }
}

void PeerExchange::applySummary(const PeerSummary &summary, const PeerReport &own, MonotonicTime now)
{
    applyLeavingEndpoints(this->state, summary.leaving);
    this->applyPlacements(summary.placements);
    this->state.promptQuarantine.merge(summary.promptEvidence, now);
    this->state.announcements.merge(summary.limits, now);
    this->configurationFetcher.fetchIfNewer(summary.configurationHolder, summary.configuration);
    const std::size_t previous = this->directory.fleet().members().size();
    this->directory.fleet().merge(summary.members, now);
    if (!summary.listsAllMembers) {
        this->directory.fleet().confirmExcept(summary.members, summary.oldestUnlisted, now);
    }
    if (this->directory.fleet().members().size() != previous) {
        logEvent(LogLevel::Info, "peer.members", {{"members", this->directory.fleet().members().size()}, {"previous", previous}});
    }
    // A hub that receives fewer reports has less complete totals: keep a fresh summary that covers more members.
    const bool isFresh = now - this->summaryReceivedAt < this->reportDelay() * 2;
    const auto memberCount = static_cast<std::size_t>(std::max<std::int64_t>(0, summary.memberCount));
    if (isFresh && memberCount < this->summaryMemberCount) {
        return;
    }
    this->summaryMemberCount = memberCount;
    this->summaryReceivedAt = now;
    this->state.chooser.loads().setPeerUsage(withoutOwn(summary.endpoints, own.endpoints), withoutOwn(summary.statistics, own.statistics), now);
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
    for (const auto &[key, parts] : placements) {
        const EndpointEntry *endpoint = this->state.endpoints.findByKey(key);
        const ServiceProperties *service = endpoint && this->state.routes ? this->state.routes->findService(endpoint->service) : nullptr;
        if (service && service->engine) {
            this->state.chooser.recordPlacement(endpoint->id, parts, service->engine->memoryTokens);
        }
    }
}

const std::string &PeerExchange::encodedSummary(const PeerReport &report, MonotonicTime now)
{
    if (this->summaryBytes.empty() || now - this->summaryEncodedAt > summaryCacheTime) {
        PeerSummary summary = this->domains.total(now);
        this->summaryMembersHash = fleetHash(this->directory.fleet().members());
        this->summaryBytesWithMembers = encodePeerSummary(summary);
        // A receiver with the same members needs only those that may have stopped.
        summary.members = this->directory.fleet().overdue(now);
        summary.listsAllMembers = false;
        summary.oldestUnlisted = this->directory.fleet().oldestInTime(now);
        this->summaryBytes = encodePeerSummary(summary);
        this->summaryEncodedAt = now;
    }
    return report.fleetHash == this->summaryMembersHash ? this->summaryBytes : this->summaryBytesWithMembers;
}

HttpResponse PeerExchange::answerReport(const std::string &body)
{
    HttpResponse response;
    const MonotonicTime now = monotonicNow();
    const auto report = decodePeerReport(body);
    if (!report) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"message", report.error().message}});
        response.status = 400;
        return response;
    }
    const FleetMember &sender = report.value().sender;
    this->recordFaults(sender.address, report.value().faults, now);
    if (sender.address.empty()) {
        response.status = 400;
        return response;
    }
    this->directory.fleet().record(sender, now);
    const bool isOwnDomain = sender.failureDomain == this->state.settings.failureDomain;
    // Another failure domain sums its reports itself; its instances report here only to learn members.
    if (isOwnDomain) {
        this->state.promptQuarantine.merge(report.value().promptEvidence, now);
        this->board.record(report.value(), now);
    }
    const bool lacksMembers = !isOwnDomain && report.value().fleetHash != fleetHash(this->directory.fleet().members());
    if (report.value().wantsSummary || lacksMembers) {
        response.body = this->encodedSummary(report.value(), now);
    }
    return response;
}

HttpResponse PeerExchange::recordDomainSummary(const std::string &body)
{
    HttpResponse response;
    const MonotonicTime now = monotonicNow();
    auto summary = decodePeerSummary(body);
    if (!summary) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"message", summary.error().message}});
        response.status = 400;
        return response;
    }
    this->recordFaults(summary.value().failureDomain, summary.value().faults, now);
    this->directory.fleet().merge(summary.value().members, now);
    this->state.promptQuarantine.merge(summary.value().promptEvidence, now);
    // A new configuration or a bad version is passed on without waiting for the next report.
    const auto isNewlyBad = [this](const TrialReport &trial) {
        const auto known = this->state.versions.rollouts().find(trial.service);
        return trial.isBad && known != this->state.versions.rollouts().end() && !known->second.isBad;
    };
    const auto &trials = summary.value().trials;
    if ((this->state.routes && summary.value().configuration > this->state.routes->configuration().version)
        || std::any_of(trials.begin(), trials.end(), isNewlyBad)) {
        this->nextReport = std::min(this->nextReport, now);
    }
    this->domains.record(std::move(summary).value(), now);
    return response;
}

Asio::awaitable<void> PeerExchange::serve(HttpExchange &exchange)
{
    HttpResponse response;
    const std::string path = targetPath(exchange.request().target);
    if (path == peerConfigurationPath) {
        response.status = this->state.configurationSource.empty() ? 503 : 200;
        response.body = this->state.configurationSource;
    } else if (path == relayPath && this->relayHandler) {
        co_await this->relayHandler(exchange);
        co_return;
    } else if (path == reportPath) {
        response = this->answerReport(exchange.request().body);
    } else if (path == domainSummaryPath) {
        response = this->recordDomainSummary(exchange.request().body);
    } else {
        response.status = 404;
    }
    co_await exchange.respond(std::move(response));
}

int PeerExchange::rankFor(const std::string &task) const
{
    return memberRank(this->directory.fleet().members(), this->state.settings.instance, task);
}

int PeerExchange::runningOnOtherVersions(const std::string &service, const std::string &version) const
{
    int running = 0;
    for (const EndpointEntry *endpoint : this->state.endpoints.ofService(service)) {
        if (endpoint->version != version) {
            running += this->state.chooser.loads().find(endpoint->id).concurrentRequests();
        }
    }
    return running;
}

std::optional<HttpAddress> PeerExchange::relayHub() const
{
    const MonotonicTime now = monotonicNow();
    if (this->directory.fleet().members().size() < minRelayedMembers || now - this->summaryReceivedAt > membershipTimeout) {
        return std::nullopt;
    }
    const StoreAccess access = this->state.storeProbe.isFailing() ? StoreAccess::Failing : StoreAccess::Working;
    const auto hub = this->directory.relayHub(access, now);
    return hub ? std::optional(parseHttpAddress(*hub)) : std::nullopt;
}

void PeerExchange::excludeHub(const HttpAddress &hub)
{
    excludePeer(this->directory, hub, monotonicNow());
}

void PeerExchange::setRelayHandler(HttpHandler handler)
{
    this->relayHandler = std::move(handler);
}

bool PeerExchange::hasOtherMembers() const
{
    return this->directory.fleet().members().size() > 1;
}

int PeerExchange::liveInstanceCount() const
{
    return std::max<int>(1, static_cast<int>(this->directory.fleet().members().size()));
}

} // namespace Godwitfork
