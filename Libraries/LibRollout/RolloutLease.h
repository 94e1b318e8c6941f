#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Content of the lease object of one roll-out. It only keeps two instances from working at once; that a former holder
/// changes nothing is due to the conditional update of the roll-out's object.
struct RolloutLease {
    std::string holder;
    /// Number of the holding period, raised with each change of holder.
    std::uint64_t term = 0;
    WallTime expires;

    auto operator<=>(const RolloutLease &) const = default;
};

/// Lease to write by conditional update so that `self` holds or renews it; empty while another instance holds it.
std::optional<RolloutLease> claimLease(const RolloutLease &current, const std::string &self, WallTime now);

/// Whether `self` may act; false some time before the lease expires for others.
bool holdsLease(const RolloutLease &lease, const std::string &self, WallTime now);

} // namespace Godwitfork
