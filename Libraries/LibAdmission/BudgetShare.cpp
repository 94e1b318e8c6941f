#include "LibAdmission/BudgetShare.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Seconds of spend that a share covers. Enough for one update of the store in several seconds, and little enough that the share of a
/// dead instance is only a small part of the budget.
constexpr double shareSeconds = 5;
} // namespace

Microunits availableAmount(const BudgetShare &share, MonotonicTime now)
{
    if (now >= share.expires) {
        return 0;
    }
    // A pending update may or may not have taken effect, so the limit is the lowest of all possible outcomes.
    Microunits limit = share.spendLimit;
    for (const BudgetShare::PendingUpdate &update : share.pending) {
        limit = std::min(limit, update.spendLimit);
    }
    return std::max<Microunits>(0, limit - share.spent - share.reserved);
}

bool reserve(BudgetShare &share, Microunits cost, MonotonicTime now)
{
    if (cost > availableAmount(share, now)) {
        return false;
    }
    share.reserved += cost;
    return true;
}

void settle(BudgetShare &share, Microunits reservation, Microunits cost)
{
    share.reserved -= reservation;
    share.spent += cost;
}

Microunits wantedShare(const BudgetShare &share, double spendPerSecond, Microunits minShare)
{
    return share.reserved + std::max(minShare, static_cast<Microunits>(spendPerSecond * shareSeconds));
}

bool needsUpdate(const BudgetShare &share, Microunits wanted, MonotonicTime now)
{
    const bool isExpiring = now + BudgetShare::lease / 3 >= share.expires;
    return isExpiring || availableAmount(share, now) * 2 < wanted - share.reserved;
}

BudgetObject startUpdate(BudgetShare &share, const BudgetObject &object, std::uint64_t version, Microunits ceiling, Microunits wanted, MonotonicTime now)
{
    BudgetObject updated = object;
    InstanceShare &entry = updated.shares[share.incarnation];
    updated.spent += std::max<Microunits>(0, share.spent - entry.spent);
    entry.spent = std::max(entry.spent, share.spent);
    entry.granted = 0;
    ++entry.sequence;
    const Microunits remaining = ceiling - updated.spent - grantedSum(updated);
    entry.granted = std::clamp<Microunits>(wanted, 0, std::max<Microunits>(0, remaining));
    // A repeated update is not added again and keeps its earlier start, so that the list does not grow during a long outage of the store.
    const Microunits limit = entry.spent + entry.granted;
    const auto isRepeat = [&](const BudgetShare::PendingUpdate &update) { return update.baseVersion == version && update.spendLimit == limit; };
    if (std::none_of(share.pending.begin(), share.pending.end(), isRepeat)) {
        share.pending.push_back({version, limit, now});
    }
    return updated;
}

void adoptObject(BudgetShare &share, const BudgetObject &object, std::uint64_t version)
{
    const auto entry = object.shares.find(share.incarnation);
    const Microunits limit = entry == object.shares.end() ? 0 : entry->second.spent + entry->second.granted;
    // The lease runs from the start of the oldest update that can have written the entry.
    for (const BudgetShare::PendingUpdate &update : share.pending) {
        if (update.baseVersion < version && update.spendLimit == limit) {
            share.expires = std::max(share.expires, update.started + BudgetShare::lease);
            break;
        }
    }
    share.spendLimit = limit;
    std::erase_if(share.pending, [&](const BudgetShare::PendingUpdate &update) { return update.baseVersion < version; });
}

} // namespace Godwitfork
