#pragma once

#include "CatalogClient.h"
#include "LibEntry/EntryState.h"
#include "LibGateway/CatalogHistory.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace Godwitfork
{

/// Keeps one kind of store object up to date: lists all objects at the start and after lost history, and watches for changes otherwise.
class CatalogFollower
{
public:
    CatalogFollower(boost::asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind);

    /// Lists and watches objects until `stop` is called.
    boost::asio::awaitable<void> run();
    void stop();

    CatalogKind objectKind() const;
    /// Revision up to which changes were applied; empty before the first list.
    std::optional<CatalogRevision> currentRevision() const;
    /// Revision of the last list read from the store.
    CatalogRevision lastListRevision() const;
    /// Time of the last successful answer from the store itself, not from a relay.
    MonotonicTime lastStoreAnswerTime() const;
    const CatalogHistory &history() const;
    /// Pauses watches of the store while another instance relays its changes.
    void setRelayed(bool relayed);
    /// Resumes watching the store at once; the pause for finding another hub is not needed if there is none.
    void skipFailover();
    /// Reads the next changes from the store itself, since the hub does not relay them.
    void readNextFromStore();
    /// Sets the age of the last store answer above which the next watch returns at once. A new hub needs a recent answer to relay.
    void setMaxAnswerAge(Duration maxAge);
    /// Applies a page relayed by another instance. Returns false if the page is malformed or earlier changes are missing.
    bool applyRelayed(const HistoryPage &page);
    /// Sets the longest time that the store holds one watch open.
    void setWatchWait(Duration wait);
    /// Sets the pause between an answer with changes and the next watch.
    void setChangePause(Duration pause);

private:
    void applyPage(const CatalogPage &page);
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> pauseAfterFailure(const CatalogError &error);
    boost::asio::awaitable<void> pause(Duration duration);
    void recordSuccess();
    /// Whether to watch the store directly: no relay is active and the time to find another hub has passed.
    bool shouldWatchStore(MonotonicTime now) const;
    boost::asio::awaitable<void> waitForProbe();
    SnapshotTrust trust() const;
    void applyList(const CatalogPage &page);
    void applyChange(const CatalogChange &change);

    boost::asio::io_context &context;
    Platform::CatalogClient &client;
    EntryState &state;
    CatalogKind kind;
    std::optional<CatalogRevision> revision;
    CatalogRevision listRevision = 0;
    MonotonicTime storeAnsweredAt;
    CatalogHistory recentPages;
    Duration watchWait;
    Duration changePause;
    bool relayed = false;
    /// Whether the next changes are read from the store although a hub relays the others.
    bool readsNextFromStore = false;
    Duration maxAnswerAge = Duration::max();
    /// Time at which the last relay ended.
    MonotonicTime relayEndedAt;
    std::shared_ptr<HttpCallCanceller> canceller;
    std::optional<MonotonicTime> failingSince;
    Duration backoff;
    MonotonicTime outageEndedAt;
    bool stopped = false;
};

} // namespace Godwitfork
