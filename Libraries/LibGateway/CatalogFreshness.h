#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <optional>

namespace Godwitfork
{

/// Limits that follow from the time within which a change of the store must be in force on every instance.
struct CatalogLimits {
    /// Longest time that the store holds one watch open.
    Duration watchWait = Duration::zero();
    /// Pause between an answer with changes and the next watch.
    Duration changePause = Duration::zero();
    /// Age from which a copy is overdue: its instance reads the store itself, and relays the copy to no other instance.
    Duration maxAge = Duration::zero();

    auto operator<=>(const CatalogLimits &) const = default;
};

/// Returns the limits for a time limit on changes.
CatalogLimits catalogLimits(Duration changeLimit);

/// How recent an instance's copy of one catalog kind is.
struct CatalogFreshness {
    /// Time at which the copy was last known to include every change of the store.
    MonotonicTime confirmedAt;
    /// Time at which the open call to the store was sent; empty if none is open.
    std::optional<MonotonicTime> callSentAt;

    auto operator<=>(const CatalogFreshness &) const = default;
};

bool isOverdue(const CatalogFreshness &freshness, const CatalogLimits &limits, MonotonicTime now);

enum class CatalogSource {
    /// The instance watches the store itself.
    Store,
    /// A hub relays the changes.
    Hub,
    /// The last hub was lost, and another one is being looked for.
    NextHub,
};

/// State that decides whether an instance calls the store for a kind.
struct CatalogReadState {
    CatalogSource source = CatalogSource::Store;
    CatalogFreshness freshness;
    /// Whether the last call to the store failed.
    bool isStoreFailing = false;
    /// Whether the hub asked the instance to read the next changes from the store.
    bool isPageWithheld = false;

    auto operator<=>(const CatalogReadState &) const = default;
};

/// Returns how long the store may hold the next watch open; empty if the store is not to be called now.
std::optional<Duration> nextWatchWait(const CatalogReadState &state, const CatalogLimits &limits, MonotonicTime now);

} // namespace Godwitfork
