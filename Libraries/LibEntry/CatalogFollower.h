#pragma once

#include "CatalogClient.h"
#include "LibEntry/EntryState.h"
#include "LibGateway/CatalogHistory.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace Godwitfork
{

/// Keeps one kind of the store's objects up to date: a list at the start and after lost history, watches in between.
class CatalogFollower
{
public:
    CatalogFollower(boost::asio::io_context &context, Platform::CatalogClient &client, EntryState &state, CatalogKind kind);

    /// Runs until `stop`.
    boost::asio::awaitable<void> run();
    void stop();

    CatalogKind kindOfObjects() const;
    /// Revision up to which the objects are known; empty before the first list.
    std::optional<CatalogRevision> position() const;
    /// Revision of the last list.
    CatalogRevision listedAt() const;
    /// Time of the last answer of the store itself.
    MonotonicTime lastConfirmed() const;
    const CatalogHistory &history() const;
    /// While another instance passes the changes on, the store is not watched.
    void setRelayed(bool relayed);
    /// Applies a page that another instance passed on. False if changes before it are missing or it is malformed.
    bool applyRelayed(const HistoryPage &page);
    /// Wait of one watch.
    void setWatchWait(Duration wait);

private:
    void applyPage(const CatalogPage &page);
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> pauseAfterFailure(const CatalogError &error);
    boost::asio::awaitable<void> pause(Duration duration);
    void recordSuccess();
    /// Whether the store is left to this follower's own calls now.
    bool watchesStore(MonotonicTime now) const;
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
    MonotonicTime confirmed;
    CatalogHistory latest;
    Duration watchWait;
    bool relayed = false;
    /// When the last relay ended.
    MonotonicTime relayLostAt;
    std::shared_ptr<HttpCallCanceller> canceller;
    std::optional<MonotonicTime> failingSince;
    Duration backoff;
    MonotonicTime outageEnded;
    bool stopped = false;
};

} // namespace Godwitfork
