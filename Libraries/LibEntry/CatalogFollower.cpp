#include "LibEntry/CatalogFollower.h"

#include "CatalogDecoder.h"
#include "LibCore/Log.h"
#include "LibEntry/CatalogChanges.h"

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
/// Wait of one watch. Each watch counts as one call at the store, and a longer one finds a silent connection later.
constexpr Duration usualWatchWait = std::chrono::seconds(8);
/// Between two looks whether the store is to be watched again.
constexpr Duration relayCheckInterval = std::chrono::milliseconds(50);
/// Between a change and the next watch; small against the bounds for endpoints that leave and for new configurations.
constexpr Duration endpointGap = std::chrono::milliseconds(120);
constexpr Duration configurationGap = std::chrono::milliseconds(300);
/// Time for finding another hub before the store is watched directly: one pause and one opened relay.
constexpr Duration relaySearchTime = std::chrono::milliseconds(800);
/// A follower that waits for another one's probe of the store asks it itself after this.
constexpr Duration longestProbeWait = std::chrono::seconds(3);
/// Changes kept for other instances; some seconds of a busy fleet.
constexpr std::size_t historyPages = 200;
constexpr Duration minBackoff = std::chrono::milliseconds(100);
/// Keeps the calls of all instances to a store that is down far below its rates.
constexpr Duration maxBackoff = std::chrono::milliseconds(800);
/// Other instances tell what changes meanwhile.
constexpr Duration maxBackoffBesidePeers = std::chrono::seconds(3);
/// Shorter failures are cut watches, in which no registration lapses.
constexpr Duration outageThreshold = std::chrono::milliseconds(1500);
/// Time after an outage in which removals may be lapsed registrations.
constexpr Duration distrustTime = std::chrono::milliseconds(2500);

nlohmann::ordered_json failureFields(CatalogKind kind, const CatalogError &error)
{
    return {{"kind", catalogKindName(kind)}, {"failure", catalogFailureName(error.failure)}, {"message", error.message}};
}
} // namespace

CatalogFollower::CatalogFollower(Asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind)
    : context(context), client(client), state(state), kind(kind), latest(historyPages), watchWait(usualWatchWait), backoff(minBackoff)
{
}

Asio::awaitable<void> CatalogFollower::run()
{
    while (!this->stopped) {
        if (this->revision && !this->watchesStore(monotonicNow())) {
            co_await this->pause(relayCheckInterval);
        } else if (this->revision) {
            co_await this->watchOnce();
        } else {
            co_await this->listOnce();
        }
    }
}

void CatalogFollower::stop()
{
    this->stopped = true;
    if (this->canceller) {
        this->canceller->cancel();
    }
}

Asio::awaitable<void> CatalogFollower::listOnce()
{
    const auto page = co_await this->client.list(this->kind);
    if (!page) {
        co_await this->pauseAfterFailure(page.error());
        co_return;
    }
    this->recordSuccess();
    this->applyList(page.value());
    this->revision = page.value().revision;
    this->listRevision = page.value().revision;
    this->latest.clear();
}

Asio::awaitable<void> CatalogFollower::watchOnce()
{
    this->canceller = std::make_shared<HttpCallCanceller>();
    const auto page = co_await this->client.watch(this->kind, *this->revision, this->watchWait, this->canceller);
    if (this->stopped || this->relayed) {
        co_return;
    }
    if (!page) {
        if (page.error().failure == CatalogFailure::HistoryLost) {
            logEvent(LogLevel::Warning, "store.history_lost", {{"kind", catalogKindName(this->kind)}, {"revision", *this->revision}});
            this->revision.reset();
            co_return;
        }
        co_await this->pauseAfterFailure(page.error());
        co_return;
    }
    this->recordSuccess();
    if (page.value().revision != *this->revision) {
        this->latest.add({*this->revision, page.value().revision, page.value().source});
    }
    this->applyPage(page.value());
    // Changes come in bursts; one call tells several of them.
    if (!page.value().changes.empty()) {
        co_await this->pause(this->kind == CatalogKind::Configuration ? configurationGap : endpointGap);
    }
}

bool CatalogFollower::watchesStore(MonotonicTime now) const
{
    return !this->relayed && now - this->relayLostAt >= relaySearchTime;
}

Asio::awaitable<void> CatalogFollower::pause(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

void CatalogFollower::applyPage(const CatalogPage &page)
{
    for (const CatalogChange &change : page.changes) {
        this->applyChange(change);
    }
    this->revision = page.revision;
}

CatalogKind CatalogFollower::kindOfObjects() const
{
    return this->kind;
}

std::optional<CatalogRevision> CatalogFollower::position() const
{
    return this->revision;
}

CatalogRevision CatalogFollower::listedAt() const
{
    return this->listRevision;
}

MonotonicTime CatalogFollower::lastConfirmed() const
{
    return this->confirmed;
}

const CatalogHistory &CatalogFollower::history() const
{
    return this->latest;
}

void CatalogFollower::setWatchWait(Duration wait)
{
    this->watchWait = wait;
}

void CatalogFollower::setRelayed(bool isRelayed)
{
    if (this->relayed && !isRelayed) {
        this->relayLostAt = monotonicNow();
    }
    this->relayed = isRelayed;
    if (isRelayed && this->canceller) {
        this->canceller->cancel();
    }
    if (isRelayed) {
        this->state.storeProbe.release(this->kind);
    }
}

bool CatalogFollower::applyRelayed(const HistoryPage &page)
{
    if (!this->revision || page.from > *this->revision) {
        return false;
    }
    if (page.to <= *this->revision) {
        return true;
    }
    const auto decoded = Platform::decodeEvents(this->kind, page.body);
    if (!decoded) {
        logEvent(LogLevel::Warning, "relay.malformed", failureFields(this->kind, decoded.error()));
        return false;
    }
    this->applyPage(decoded.value());
    return true;
}

Asio::awaitable<void> CatalogFollower::pauseAfterFailure(const CatalogError &error)
{
    if (!this->failingSince) {
        this->failingSince = monotonicNow();
        logEvent(LogLevel::Warning, "store.lost", failureFields(this->kind, error));
    }
    if (!this->state.storeProbe.acquire(this->kind)) {
        co_await this->waitForProbe();
        co_return;
    }
    std::uniform_real_distribution<double> jitter(0.5, 1);
    const auto delay = std::chrono::duration_cast<Duration>(this->backoff * jitter(this->state.random));
    this->backoff = std::min(this->backoff * 2, this->state.hearsPeers ? maxBackoffBesidePeers : maxBackoff);
    co_await this->pause(delay);
}

// Each call to a store that is away is counted and priced, so one kind asks for all.
Asio::awaitable<void> CatalogFollower::waitForProbe()
{
    const MonotonicTime limit = monotonicNow() + longestProbeWait;
    while (this->state.storeProbe.isWaiting(this->kind) && !this->stopped && monotonicNow() < limit) {
        co_await this->pause(relayCheckInterval);
    }
}

void CatalogFollower::recordSuccess()
{
    this->state.storeProbe.recordSuccess();
    this->backoff = minBackoff;
    this->confirmed = monotonicNow();
    if (!this->failingSince) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    const Duration outage = now - *this->failingSince;
    if (outage > outageThreshold) {
        this->outageEnded = now;
    }
    this->failingSince.reset();
    logEvent(LogLevel::Info,
             "store.regained",
             {{"kind", catalogKindName(this->kind)}, {"outage_ms", std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()}});
}

SnapshotTrust CatalogFollower::trust() const
{
    const bool isRecent = this->outageEnded != MonotonicTime() && monotonicNow() - this->outageEnded < distrustTime;
    return isRecent ? SnapshotTrust::AfterOutage : SnapshotTrust::Complete;
}

void CatalogFollower::applyList(const CatalogPage &page)
{
    if (this->kind == CatalogKind::Endpoints) {
        applyEndpointList(this->state, page, this->trust(), monotonicNow());
        return;
    }
    for (const CatalogChange &change : page.changes) {
        this->applyChange(change);
    }
    if (this->kind == CatalogKind::Rollouts) {
        this->state.rolloutsKnown = true;
    }
}

void CatalogFollower::applyChange(const CatalogChange &change)
{
    applyCatalogChange(this->state, this->kind, change, this->trust(), monotonicNow());
}

} // namespace Godwitfork
