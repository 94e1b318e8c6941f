#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Progress of one configuration revision as one instance sees it.
struct Acceptance {
    std::uint64_t revision = 0;
    std::optional<MonotonicTime> stored;
    std::optional<MonotonicTime> accepted;
    std::optional<MonotonicTime> inForce;
    /// Members that have not reported the revision.
    std::vector<std::string> missing;

    auto operator<=>(const Acceptance &) const = default;
};

/// Starts to track a revision that the store holds.
Acceptance trackStored(std::uint64_t revision, MonotonicTime stored);

/// Next state of an acceptance. `counted` are the members of the last list read from the store, `holders` those known to
/// hold the revision, and `lease` the configuration lease. The revision is accepted when more than half of the members hold
/// it. It is in force when all hold it, or one lease after the acceptance, since no other instance admits work then.
Acceptance
advance(const Acceptance &acceptance, const std::vector<std::string> &counted, const std::set<std::string> &holders, Duration lease, MonotonicTime now);

} // namespace Godwitfork
