#pragma once

#include "CatalogClient.h"
#include "LibEntry/EntryState.h"
#include "LibGateway/CatalogHistory.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace Godwitfork
{

/// Keeps one kind of store object up to date: lists all objects at the start, after lost history and after the store returned from a copy, and watches for
/// changes otherwise.
class CatalogFollower
{
public:
    CatalogFollower(boost::asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind);

    /// Lists and watches objects until `stop` is called.
    boost::asio::awaitable<void> run();
    void stop();

    CatalogKind objectKind() const;
    /// Position up to which changes were applied; empty before the first list.
    const std::optional<CatalogPosition> &currentPosition() const;
    /// Time of the last successful answer from the store itself, not from a relay.
    MonotonicTime lastStoreAnswerTime() const;
    /// Whether the store itself answered so recently that other instances may rely on this copy.
    bool hasRecentStoreAnswer(MonotonicTime now) const;
    const CatalogHistory &history() const;
    /// Sets where the next changes come from. Unless the copy is overdue, the store is watched only while it is the source.
    void setSource(CatalogSource source);
    /// Reads the next changes from the store itself, since the hub does not relay them.
    void readNextFromStore();
    /// Applies a page of an era that another instance relayed. Returns false if the page is malformed or earlier changes are missing.
    bool applyRelayed(const HistoryPage &page, std::optional<StoreEra> era);
    /// Records that the store had no change after `storePosition` at the given time. Has no effect if this copy is not that recent.
    void confirm(const CatalogPosition &storePosition, MonotonicTime time);
    /// Records the era in which a hub reads the store. If it is newer than the copy's, the store is listed next.
    void recordHubEra(std::optional<StoreEra> era);

private:
    /// Whether the copy lacks changes that no watch from its position returns.
    bool needsList() const;
    void applyPage(const CatalogPage &page);
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> watchOnce(Duration wait);
    boost::asio::awaitable<void> pauseAfterFailure(const CatalogError &error);
    boost::asio::awaitable<void> pause(Duration duration);
    void recordSuccess();
    CatalogReadState readState() const;
    CatalogFreshness &freshness() const;
    boost::asio::awaitable<void> waitForProbe();
    SnapshotTrust trust() const;
    void recordRestore(const CatalogPage &page);
    /// Whether objects that a list lacks may be missing only from the copy from which the store returned.
    bool isRewritePending() const;
    void applyList(const CatalogPage &page);
    void applyChange(const CatalogChange &change);

    boost::asio::io_context &context;
    Platform::CatalogClient &client;
    EntryState &state;
    CatalogKind kind;
    /// Position up to which changes were applied; empty before the first list.
    std::optional<CatalogPosition> position;
    /// Whether the next call lists the objects, since the store does not have the changes after `position`.
    bool isListDue = false;
    /// Newest era that a hub named; it causes one list only.
    std::optional<StoreEra> hubEra;
    MonotonicTime storeAnsweredAt;
    CatalogHistory recentPages;
    CatalogSource source = CatalogSource::Store;
    /// Whether the next changes are read from the store although a hub relays the others.
    bool readsNextFromStore = false;
    std::shared_ptr<HttpCallCanceller> canceller;
    std::optional<MonotonicTime> failingSince;
    Duration backoff;
    std::optional<MonotonicTime> outageEndedAt;
    /// End of the time in which objects that the store's copy lacks are kept; empty if there are none.
    std::optional<MonotonicTime> rewriteEndsAt;
    bool stopped = false;
};

} // namespace Godwitfork
