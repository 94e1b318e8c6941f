#include "LibRollout/RolloutLease.h"

namespace Godwitfork
{

namespace
{
constexpr Duration leaseDuration = std::chrono::seconds(10);
// Largest permitted deviation of an instance's clock. `expires` is written with one clock and compared with another.
constexpr Duration maximumClockError = std::chrono::milliseconds(500);
} // namespace

std::optional<RolloutLease> claimLease(const RolloutLease &current, const std::string &self, WallTime now)
{
    const bool renews = holdsLease(current, self, now);
    if (!renews && now < current.expires + maximumClockError) {
        return std::nullopt;
    }
    return RolloutLease {self, renews ? current.term : current.term + 1, now + leaseDuration};
}

bool holdsLease(const RolloutLease &lease, const std::string &self, WallTime now)
{
    return lease.holder == self && now < lease.expires - maximumClockError;
}

} // namespace Godwitfork
