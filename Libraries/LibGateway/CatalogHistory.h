#pragma once

#include "LibGateway/Catalog.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Changes between two revisions, as the store sent them.
struct HistoryPage {
    CatalogRevision from = 0;
    CatalogRevision to = 0;
    std::string body;

    auto operator<=>(const HistoryPage &) const = default;
};

/// The latest changes of one kind, for instances that follow this one in place of the store.
class CatalogHistory
{
public:
    /// Keeps up to `maxPages` pages.
    explicit CatalogHistory(std::size_t maxPages);

    /// Adds what a watch returned. A gap to the pages before drops them.
    void add(HistoryPage page);
    /// Pages after a revision; empty if the history does not reach back to it. A revision that is newer than the history needs
    /// no page.
    std::optional<std::vector<HistoryPage>> since(CatalogRevision revision) const;
    void clear();

private:
    std::size_t maxPages;
    std::deque<HistoryPage> pages;
};

/// One message of the stream to a following instance.
struct RelayFrame {
    enum class Type {
        /// The sender still hears from the store.
        Alive,
        Page,
        /// The sender's history does not reach back to the revision asked for.
        HistoryLost,
    };

    Type type = Type::Alive;
    CatalogKind kind = CatalogKind::Endpoints;
    HistoryPage page;

    auto operator<=>(const RelayFrame &) const = default;
};

std::string encodeRelayFrame(const RelayFrame &frame);
/// Empty for malformed text.
std::optional<RelayFrame> decodeRelayFrame(const std::string &text);

} // namespace Godwitfork
