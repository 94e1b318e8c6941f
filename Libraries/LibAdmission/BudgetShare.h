#pragma once

#include "LibAdmission/BudgetObject.h"
#include "LibCore/Time.h"

#include <vector>

namespace Godwitfork
{

/// One instance's share of the budget of one account at one site.
///
/// The instance writes its cumulative spend and its new share by conditional update of the stored object. Because the spend is cumulative,
/// an update whose answer is lost needs no detection of duplicates: the entry that is read back is authoritative. The spend that the
/// object permits is `spent` plus the granted shares, and an update grants a share only within the ceiling. The real spend exceeds the
/// ceiling at most by
/// - the costs of requests in flight above their reservations, and
/// - the reservations of an instance that was paused for longer than `lease` and then completes its requests in flight.
struct BudgetShare {
    /// Time for which a share may be spent, counted from the start of the update that granted it.
    static constexpr Duration lease = std::chrono::seconds(30);

    /// Update whose answer has not arrived. It is conditional on the object's version `baseVersion` and would set the limit `spendLimit`.
    struct PendingUpdate {
        std::uint64_t baseVersion = 0;
        Microunits spendLimit = 0;
        MonotonicTime started;
    };

    std::string incarnation;
    /// Cumulative spend of this incarnation, microunits.
    Microunits spent = 0;
    /// Sum of the reservations of requests in flight.
    Microunits reserved = 0;
    /// Cumulative spend that the entry permits, as it was last read.
    Microunits spendLimit = 0;
    /// End of the lease, after which nothing may be reserved.
    MonotonicTime expires;
    std::vector<PendingUpdate> pending;
};

/// Amount that new requests may still reserve.
Microunits availableAmount(const BudgetShare &share, MonotonicTime now);

/// Reserves `cost`, the highest possible cost of a request. Returns false if the available amount is too small or the share has expired.
bool reserve(BudgetShare &share, Microunits cost, MonotonicTime now);
/// Replaces a request's reservation by its real cost when it has ended.
void settle(BudgetShare &share, Microunits reservation, Microunits cost);

/// Amount to request in the next update: the reservations plus the spend of 5 s at `spendPerSecond`, or plus `minShare` if that is more.
Microunits wantedShare(const BudgetShare &share, double spendPerSecond, Microunits minShare);
/// Whether the share must be updated: a third of its lease or less is left, or less than half of the amount that `wanted` adds to the
/// reservations is available.
bool needsUpdate(const BudgetShare &share, Microunits wanted, MonotonicTime now);

/// Returns the object for an update that is conditional on `version`, and adds the update to `pending`. `ceiling` is the highest sum of
/// spend and granted shares that the spend plan permits now.
BudgetObject startUpdate(BudgetShare &share, const BudgetObject &object, std::uint64_t version, Microunits ceiling, Microunits wanted, MonotonicTime now);

/// Adopts the limit from the object as read from the store, or as written by a confirmed update, with its version. Removes the pending
/// updates on older versions, which can no longer take effect.
void adoptObject(BudgetShare &share, const BudgetObject &object, std::uint64_t version);

} // namespace Godwitfork
