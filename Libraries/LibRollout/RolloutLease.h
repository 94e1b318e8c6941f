#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Content of the lease object of one roll-out. The lease only avoids that two instances work on the roll-out at the same time. A former
/// holder is prevented from changing it by the conditional update of the roll-out's object.
struct RolloutLease {
    std::string holder;
    /// Incremented each time the lease is acquired; a renewal keeps it.
    std::uint64_t term = 0;
    WallTime expires;

    auto operator<=>(const RolloutLease &) const = default;
};

/// Returns the lease that `self` writes by conditional update to acquire or renew it; empty while another instance may hold it.
std::optional<RolloutLease> claimLease(const RolloutLease &current, const std::string &self, WallTime now);

/// Whether `self` holds the lease. False from 500 ms before it expires, as a margin for clock errors.
bool holdsLease(const RolloutLease &lease, const std::string &self, WallTime now);

} // namespace Godwitfork
