#pragma once

#include "LibAdmission/BudgetObject.h"
#include "LibCore/Time.h"

#include <vector>

namespace Godwitfork
{

/// One instance's share of the budget of one account at one site.
///
/// The store's object is conditionally updated with the cumulative spend and the new share, so an update whose answer is
/// lost needs no repeat detection: the entry that is read back states what holds. All spend that the object permits is
/// `spent` plus the outstanding shares, which never pass the ceiling. The real spend passes it at most by
/// - the cost above their reservation of requests in flight, and
/// - the reservations in flight of an instance that was paused for longer than `lease` and finishes them afterwards.
struct BudgetShare {
    /// A share may be spent this long after the update that granted it was started.
    static constexpr Duration lease = std::chrono::seconds(30);

    /// An update whose answer has not arrived, conditional on the object's version `baseVersion`.
    struct PendingUpdate {
        std::uint64_t baseVersion = 0;
        Microunits spendLimit = 0;
        MonotonicTime started;
    };

    std::string incarnation;
    /// Cumulative spend of this incarnation.
    Microunits spent = 0;
    /// Reservations of requests in flight.
    Microunits reserved = 0;
    /// Cumulative spend that the last known entry permits.
    Microunits spendLimit = 0;
    MonotonicTime expires;
    std::vector<PendingUpdate> pending;
};

/// Amount that new requests may still reserve.
Microunits availableAmount(const BudgetShare &share, MonotonicTime now);

/// Reserves the greatest cost that a request may have. False if the share is too small or has expired.
bool reserve(BudgetShare &share, Microunits cost, MonotonicTime now);
/// Replaces a reservation by the real cost at the end of the request.
void settle(BudgetShare &share, Microunits reservation, Microunits cost);

/// Amount to ask for: the reservations plus the spend of a few seconds at the recent rate, at least `minShare`.
Microunits wantedShare(const BudgetShare &share, double spendPerSecond, Microunits minShare);
bool needsUpdate(const BudgetShare &share, Microunits wanted, MonotonicTime now);

/// Builds the new object for a conditional update on `version` and notes it as pending. `ceiling` is the greatest sum
/// of spend and shares that the plan permits now.
BudgetObject startUpdate(BudgetShare &share, const BudgetObject &object, std::uint64_t version, Microunits ceiling, Microunits wanted, MonotonicTime now);

/// Takes in the object as read from the store, or as written by a confirmed update, with its version. Pending updates
/// on older versions can no longer take effect.
void adoptObject(BudgetShare &share, const BudgetObject &object, std::uint64_t version);

} // namespace Godwitfork
