#pragma once

#include "CatalogClient.h"
#include "LibEntry/EntryState.h"

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

private:
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> pauseAfterFailure(const CatalogError &error);
    void recordSuccess();
    SnapshotTrust trust() const;
    void applyList(const CatalogPage &page);
    void applyChange(const CatalogChange &change);

    boost::asio::io_context &context;
    Platform::CatalogClient &client;
    EntryState &state;
    CatalogKind kind;
    std::optional<CatalogRevision> revision;
    std::shared_ptr<HttpCallCanceller> canceller;
    std::optional<MonotonicTime> failingSince;
    Duration backoff;
    MonotonicTime outageEnded;
    bool stopped = false;
};

} // namespace Godwitfork
