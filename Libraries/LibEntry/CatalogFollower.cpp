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
/// Longest time that the store holds one watch open. A shorter wait costs more store calls, a longer one detects a dead connection later.
constexpr Duration defaultWatchWait = std::chrono::seconds(8);
/// Interval of checks whether the store must be watched again, or whether a probe has ended.
constexpr Duration relayCheckInterval = std::chrono::milliseconds(50);
constexpr Duration defaultChangePause = std::chrono::milliseconds(120);
/// Time to fail over to another hub before the store is watched directly: one retry pause and one relay connection.
constexpr Duration relayFailoverTime = std::chrono::milliseconds(800);
/// Longest wait for another follower's probe of the store; after it the follower calls the store itself.
constexpr Duration maxProbeWait = std::chrono::seconds(3);
/// Pages of changes kept for instances that follow this one; covers a few seconds of changes in a busy fleet.
constexpr std::size_t maxHistoryPages = 200;
constexpr std::size_t maxHistoryBytes = std::size_t {4} * 1024 * 1024;
constexpr Duration minBackoff = std::chrono::milliseconds(100);
/// Keeps the combined call rate of all instances far below the store's rate limits while the store is unavailable.
constexpr Duration maxBackoff = std::chrono::milliseconds(800);
/// Back-off limit while other instances report changes, so that a slower retry loses none.
constexpr Duration maxBackoffWithPeers = std::chrono::seconds(3);
/// Failures at most this long are interrupted watches, during which no registration expires.
constexpr Duration outageThreshold = std::chrono::milliseconds(1500);
/// Time after an outage during which a removal may be an expired registration of a live endpoint.
constexpr Duration postOutageTime = std::chrono::milliseconds(2500);

nlohmann::ordered_json failureFields(CatalogKind kind, const CatalogError &error)
{
    return {{"kind", catalogKindName(kind)}, {"failure", catalogFailureName(error.failure)}, {"message", error.message}};
}
} // namespace

CatalogFollower::CatalogFollower(Asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind)
    : context(context)
    , client(client)
    , state(state)
    , kind(kind)
    , recentPages(maxHistoryPages, maxHistoryBytes)
    , watchWait(defaultWatchWait)
    , changePause(defaultChangePause)
    , backoff(minBackoff)
{
}

Asio::awaitable<void> CatalogFollower::run()
{
    while (!this->stopped) {
        if (this->revision && !this->shouldWatchStore(monotonicNow())) {
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
    this->state.freshness[this->kind].callSentAt = monotonicNow();
    const auto page = co_await this->client.list(this->kind);
    this->state.freshness[this->kind].callSentAt.reset();
    if (!page) {
        co_await this->pauseAfterFailure(page.error());
        co_return;
    }
    this->recordSuccess();
    this->applyList(page.value());
    this->revision = page.value().revision;
    this->listRevision = page.value().revision;
    this->recentPages.clear();
    this->state.freshness[this->kind].confirmedAt = monotonicNow();
}

Asio::awaitable<void> CatalogFollower::watchOnce()
{
    this->canceller = std::make_shared<HttpCallCanceller>();
    const bool isStale = monotonicNow() - this->storeAnsweredAt > this->maxAnswerAge;
    const Duration wait = isStale ? Duration::zero() : this->watchWait;
    this->state.freshness[this->kind].callSentAt = monotonicNow();
    const auto page = co_await this->client.watch(this->kind, *this->revision, wait, this->canceller);
    this->state.freshness[this->kind].callSentAt.reset();
    if (this->stopped || (this->relayed && !this->readsNextFromStore)) {
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
        this->recentPages.add({*this->revision, page.value().revision, page.value().source});
    }
    if (!page.value().changes.empty()) {
        this->readsNextFromStore = false;
    }
    this->applyPage(page.value());
    this->state.freshness[this->kind].confirmedAt = monotonicNow();
    // Changes come in bursts: after a pause, one call returns several of them.
    if (!page.value().changes.empty()) {
        co_await this->pause(this->changePause);
    }
}

bool CatalogFollower::shouldWatchStore(MonotonicTime now) const
{
    return this->readsNextFromStore || (!this->relayed && now - this->relayEndedAt >= relayFailoverTime);
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

CatalogKind CatalogFollower::objectKind() const
{
    return this->kind;
}

std::optional<CatalogRevision> CatalogFollower::currentRevision() const
{
    return this->revision;
}

CatalogRevision CatalogFollower::lastListRevision() const
{
    return this->listRevision;
}

MonotonicTime CatalogFollower::lastStoreAnswerTime() const
{
    return this->storeAnsweredAt;
}

const CatalogHistory &CatalogFollower::history() const
{
    return this->recentPages;
}

void CatalogFollower::setWatchWait(Duration wait)
{
    this->watchWait = wait;
}

void CatalogFollower::setRelayed(bool isRelayed)
{
    if (this->relayed && !isRelayed) {
        this->relayEndedAt = monotonicNow();
    }
    this->relayed = isRelayed;
    if (isRelayed && this->canceller) {
        this->canceller->cancel();
    }
    if (isRelayed) {
        this->state.storeProbe.release(this->kind);
    }
}

void CatalogFollower::setChangePause(Duration pause)
{
    this->changePause = pause;
}

void CatalogFollower::skipFailover()
{
    this->relayEndedAt = {};
}

void CatalogFollower::readNextFromStore()
{
    this->readsNextFromStore = true;
}

void CatalogFollower::setMaxAnswerAge(Duration maxAge)
{
    this->maxAnswerAge = maxAge;
}

bool CatalogFollower::applyRelayed(const HistoryPage &page)
{
    if (!this->revision || page.from > *this->revision) {
        return false;
    }
    if (page.to <= *this->revision) {
        return true;
    }
    this->readsNextFromStore = false;
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
    this->backoff = std::min(this->backoff * 2, this->state.hasPeerUpdates ? maxBackoffWithPeers : maxBackoff);
    co_await this->pause(delay);
}

// Calls to an unavailable store are counted and priced too, so only one follower probes it for all kinds.
Asio::awaitable<void> CatalogFollower::waitForProbe()
{
    const MonotonicTime limit = monotonicNow() + maxProbeWait;
    while (this->state.storeProbe.isWaiting(this->kind) && !this->stopped && monotonicNow() < limit) {
        co_await this->pause(relayCheckInterval);
    }
}

void CatalogFollower::recordSuccess()
{
    this->state.storeProbe.recordSuccess();
    this->backoff = minBackoff;
    this->storeAnsweredAt = monotonicNow();
    if (!this->failingSince) {
        return;
    }
    const MonotonicTime now = monotonicNow();
    const Duration outage = now - *this->failingSince;
    if (outage > outageThreshold) {
        this->outageEndedAt = now;
    }
    this->failingSince.reset();
    logEvent(LogLevel::Info,
             "store.regained",
             {{"kind", catalogKindName(this->kind)}, {"outage_ms", std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()}});
}

SnapshotTrust CatalogFollower::trust() const
{
    const bool isRecent = this->outageEndedAt != MonotonicTime() && monotonicNow() - this->outageEndedAt < postOutageTime;
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
