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
/// Interval of checks whether the store must be watched again, or whether a probe has ended.
constexpr Duration relayCheckInterval = std::chrono::milliseconds(50);
/// Longest wait for another follower's probe of the store; after it the follower calls the store itself.
constexpr Duration maxProbeWait = std::chrono::seconds(3);
/// Pages of changes kept for instances that follow this one; covers a few seconds of changes in a busy fleet.
constexpr std::size_t maxHistoryPages = 200;
constexpr std::size_t maxHistoryBytes = std::size_t {4} * 1024 * 1024;
constexpr Duration minBackoff = std::chrono::milliseconds(100);
/// Keeps the combined call rate of all instances far below the store's rate limits while the store is unavailable.
constexpr Duration maxBackoff = std::chrono::milliseconds(800);
/// Failures at most this long are interrupted watches, during which no registration expires.
constexpr Duration outageThreshold = std::chrono::milliseconds(1500);
/// Time for operators to write again what a store lacks that returned from a copy.
constexpr Duration rewriteTime = std::chrono::seconds(10);

nlohmann::ordered_json eraField(std::optional<StoreEra> era)
{
    return era ? nlohmann::ordered_json(*era) : nlohmann::ordered_json();
}

nlohmann::ordered_json failureFields(CatalogKind kind, const CatalogError &error)
{
    return {{"kind", catalogKindName(kind)}, {"failure", catalogFailureName(error.failure)}, {"message", error.message}};
}
} // namespace

CatalogFollower::CatalogFollower(Asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind)
    : context(context), client(client), state(state), kind(kind), recentPages(maxHistoryPages, maxHistoryBytes), backoff(minBackoff)
{
}

Asio::awaitable<void> CatalogFollower::run()
{
    while (!this->stopped) {
        const auto wait = nextWatchWait(this->readState(), this->state.catalogLimits(), monotonicNow());
        if (this->needsList()) {
            co_await this->listOnce();
        } else if (wait) {
            co_await this->watchOnce(*wait);
        } else {
            co_await this->pause(relayCheckInterval);
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

// A store that returned from a copy gives out the revisions after the copy again. Once it has given out the one of `position`, it answers a watch from there,
// but without the changes below it.
bool CatalogFollower::needsList() const
{
    const bool isRewriteOver = this->rewriteEndsAt && !this->isRewritePending();
    return !this->position || this->isListDue || isRewriteOver || this->position->era != this->client.era();
}

Asio::awaitable<void> CatalogFollower::listOnce()
{
    const MonotonicTime sentAt = monotonicNow();
    this->freshness().callSentAt = sentAt;
    const auto page = co_await this->client.list(this->kind);
    this->freshness().callSentAt.reset();
    if (!page && page.error().failure == CatalogFailure::HistoryLost) {
        co_await this->pause(minBackoff);
        co_return;
    }
    if (!page) {
        co_await this->pauseAfterFailure(page.error());
        co_return;
    }
    this->recordSuccess();
    if (this->position && this->position->era != page.value().era) {
        this->recordRestore(page.value());
    }
    this->applyList(page.value());
    this->position = {page.value().era, page.value().revision};
    this->isListDue = false;
    this->recentPages.clear();
    // A long list is read in several calls, and its revision is that of the first.
    this->confirm(*this->position, sentAt);
}

// What the copy lacks is written again: registrations as after an outage in which they expired, and what operators wrote.
void CatalogFollower::recordRestore(const CatalogPage &page)
{
    this->outageEndedAt = monotonicNow();
    this->rewriteEndsAt = monotonicNow() + rewriteTime;
    logEvent(LogLevel::Warning,
             "store.restored",
             {{"kind", catalogKindName(this->kind)},
              {"previous_era", eraField(this->position->era)},
              {"previous_revision", this->position->revision},
              {"era", eraField(page.era)},
              {"revision", page.revision}});
}

Asio::awaitable<void> CatalogFollower::watchOnce(Duration wait)
{
    const auto callCanceller = std::make_shared<HttpCallCanceller>();
    this->canceller = callCanceller;
    const CatalogPosition requested = *this->position;
    this->freshness().callSentAt = monotonicNow();
    const auto page = co_await this->client.watch(this->kind, requested.revision, wait, callCanceller);
    this->freshness().callSentAt.reset();
    // A hub may have relayed changes in the meantime; applied after them, the answer would restore older states.
    if (this->stopped || callCanceller->isCancelled() || *this->position != requested) {
        co_return;
    }
    if (!page) {
        if (page.error().failure == CatalogFailure::HistoryLost) {
            logEvent(LogLevel::Warning, "store.history_lost", {{"kind", catalogKindName(this->kind)}, {"revision", requested.revision}});
            this->isListDue = true;
            co_return;
        }
        co_await this->pauseAfterFailure(page.error());
        co_return;
    }
    if (page.value().era != requested.era) {
        this->isListDue = true;
        co_return;
    }
    this->recordSuccess();
    if (page.value().revision != requested.revision) {
        this->recentPages.add({requested.revision, page.value().revision, page.value().source});
    }
    this->readsNextFromStore = false;
    this->applyPage(page.value());
    this->confirm(*this->position, this->storeAnsweredAt);
    if (!page.value().changes.empty()) {
        co_await this->pause(this->state.catalogLimits().changePause);
    }
}

CatalogReadState CatalogFollower::readState() const
{
    return {this->source, this->freshness(), this->failingSince.has_value(), this->readsNextFromStore};
}

CatalogFreshness &CatalogFollower::freshness() const
{
    return this->state.freshness[this->kind];
}

void CatalogFollower::confirm(const CatalogPosition &storePosition, MonotonicTime time)
{
    if (this->position && includesChangesUpTo(*this->position, storePosition)) {
        this->freshness().confirmedAt = std::max(this->freshness().confirmedAt, time);
    }
}

void CatalogFollower::recordHubEra(std::optional<StoreEra> era)
{
    if (this->position && era > this->position->era && era > this->hubEra) {
        this->hubEra = era;
        this->isListDue = true;
    }
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
    this->position->revision = page.revision;
}

CatalogKind CatalogFollower::objectKind() const
{
    return this->kind;
}

const std::optional<CatalogPosition> &CatalogFollower::currentPosition() const
{
    return this->position;
}

MonotonicTime CatalogFollower::lastStoreAnswerTime() const
{
    return this->storeAnsweredAt;
}

bool CatalogFollower::hasRecentStoreAnswer(MonotonicTime now) const
{
    return this->position && now - this->storeAnsweredAt < this->state.catalogLimits().maxAge;
}

const CatalogHistory &CatalogFollower::history() const
{
    return this->recentPages;
}

void CatalogFollower::setSource(CatalogSource next)
{
    this->source = next;
    if (next != CatalogSource::Hub) {
        return;
    }
    this->state.storeProbe.release(this->kind);
    // An overdue copy needs the answer, since the hub may be as late.
    if (this->canceller && !nextWatchWait(this->readState(), this->state.catalogLimits(), monotonicNow())) {
        this->canceller->cancel();
    }
}

void CatalogFollower::readNextFromStore()
{
    this->readsNextFromStore = true;
}

bool CatalogFollower::applyRelayed(const HistoryPage &page, std::optional<StoreEra> era)
{
    // Changes that are relayed during a list may be older or newer than it.
    if (this->needsList()) {
        this->readsNextFromStore = true;
        return true;
    }
    // A hub that has not noticed the store's return from a copy yet goes on in the former era.
    if (era != this->position->era) {
        return true;
    }
    if (page.from > this->position->revision) {
        // The call to the store that is due returns the changes before this page and the page itself.
        return this->readsNextFromStore;
    }
    if (page.to <= this->position->revision) {
        return true;
    }
    auto decoded = Platform::decodeEvents(this->kind, page.body);
    if (!decoded) {
        logEvent(LogLevel::Warning, "relay.malformed", failureFields(this->kind, decoded.error()));
        return false;
    }
    setEra(decoded.value(), era);
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
    this->backoff = std::min(this->backoff * 2, maxBackoff);
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
    logEvent(LogLevel::Info, "store.regained", {{"kind", catalogKindName(this->kind)}, {"outage_ms", toMilliseconds(outage)}});
}

SnapshotTrust CatalogFollower::trust() const
{
    return {this->outageEndedAt};
}

bool CatalogFollower::isRewritePending() const
{
    return this->rewriteEndsAt && monotonicNow() < *this->rewriteEndsAt;
}

void CatalogFollower::applyList(const CatalogPage &page)
{
    const MonotonicTime now = monotonicNow();
    const MissingObjects missing = this->isRewritePending() ? MissingObjects::Keep : MissingObjects::Remove;
    bool isAnyKept = false;
    switch (this->kind) {
    case CatalogKind::Configuration:
        for (const CatalogChange &change : page.changes) {
            this->applyChange(change);
        }
        break;
    case CatalogKind::Endpoints:
        applyEndpointList(this->state, page, this->trust(), now);
        break;
    case CatalogKind::Rollouts:
        isAnyKept = applyRolloutList(this->state, page, now, missing);
        break;
    case CatalogKind::Evacuations:
        isAnyKept = applyEvacuationList(this->state, page, now, missing);
        break;
    }
    if (!isAnyKept) {
        this->rewriteEndsAt.reset();
    }
}

void CatalogFollower::applyChange(const CatalogChange &change)
{
    applyCatalogChange(this->state, this->kind, change, this->trust(), monotonicNow());
}

} // namespace Godwitfork
