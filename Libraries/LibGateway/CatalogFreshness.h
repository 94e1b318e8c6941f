#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <optional>

namespace Godwitfork
{

/// How recent an instance's copy of one catalog kind is.
struct CatalogFreshness {
    /// Time at which the copy was last known to include every change of the store.
    MonotonicTime confirmedAt;
    /// Time at which the open call to the store was sent; empty if none is open.
    std::optional<MonotonicTime> callSentAt;

    auto operator<=>(const CatalogFreshness &) const = default;
};

} // namespace Godwitfork
