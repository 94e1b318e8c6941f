#pragma once

#include "LibGateway/Catalog.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Changes after revision `from` up to revision `to` of one era, as the store's answer to a watch.
struct HistoryPage {
    CatalogRevision from = 0;
    CatalogRevision to = 0;
    std::string body;

    auto operator<=>(const HistoryPage &) const = default;
};

/// Latest changes of one catalog kind in one era, relayed to instances that cannot reach the store.
class CatalogHistory
{
public:
    /// Creates an empty history of at most `maxPages` pages and, beyond the newest page, `maxBytes` bytes; the oldest page is dropped first.
    CatalogHistory(std::size_t maxPages, std::size_t maxBytes);

    /// Appends the result of a watch. If it does not continue the newest page, all earlier pages are dropped.
    void add(HistoryPage page);
    /// Returns the pages with changes after a revision; empty if the history does not reach back to it. The list has no pages if
    /// the revision is newer than the history.
    std::optional<std::vector<HistoryPage>> since(CatalogRevision revision) const;
    void clear();

private:
    std::size_t maxPages;
    std::size_t maxBytes;
    std::size_t usedBytes = 0;
    std::deque<HistoryPage> pages;
};

/// One message of the stream that relays catalog changes to another instance.
struct RelayFrame {
    enum class Type {
        /// Heartbeat: the store had no change after `revision` of `era` when it last answered the sender, `storeAnswerAge` ago.
        Alive,
        Page,
        /// The sender has changes that it cannot relay; the receiver reads them from the store.
        Withheld,
    };

    Type type = Type::Alive;
    CatalogKind kind = CatalogKind::Endpoints;
    HistoryPage page;
    CatalogRevision revision = 0;
    /// Sent in milliseconds.
    Duration storeAnswerAge = Duration::zero();
    /// Era of a heartbeat's or page's revisions; empty if it is unknown.
    std::optional<StoreEra> era = std::nullopt;

    auto operator<=>(const RelayFrame &) const = default;
};

std::string encodeRelayFrame(const RelayFrame &frame);
/// Decodes a frame; empty if the text is malformed.
std::optional<RelayFrame> decodeRelayFrame(const std::string &text);

} // namespace Godwitfork
