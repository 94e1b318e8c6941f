#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Progress of one configuration revision, as observed by one instance. Times are on the clock of this instance.
struct Acceptance {
    std::uint64_t revision = 0;
    /// When the revision was stored.
    std::optional<MonotonicTime> stored;
    /// When a majority of the members was first observed to hold the revision.
    std::optional<MonotonicTime> accepted;
    /// When the revision was first known to be in force: no instance admits requests under an older one any more.
    std::optional<MonotonicTime> inForce;
    /// Members that are not known to hold the revision.
    std::vector<std::string> missing;

    auto operator<=>(const Acceptance &) const = default;
};

/// Makes the initial state of a revision that was stored at `stored`.
Acceptance trackStored(std::uint64_t revision, MonotonicTime stored);

/// Returns the next state of an acceptance. `members` are the members of the last list read from the store, `holders` those
/// known to hold the revision, and `lease` is the duration of the configuration lease. The revision is accepted when more than
/// half of the members hold it. It is in force when all members hold it, or one lease after its acceptance, because the lease
/// of every instance that does not hold it has expired by then.
Acceptance
advance(const Acceptance &acceptance, const std::vector<std::string> &members, const std::set<std::string> &holders, Duration lease, MonotonicTime now);

} // namespace Godwitfork
