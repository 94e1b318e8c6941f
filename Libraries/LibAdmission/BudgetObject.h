#pragma once

#include "LibCore/Error.h"
#include "LibCore/Money.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Entry of one incarnation of an instance: the spend that it has reported and the amount that it may still spend.
struct InstanceShare {
    /// Cumulative spend that the incarnation has reported.
    Microunits spent = 0;
    /// Amount that the incarnation may spend beyond `spent`.
    Microunits granted = 0;
    /// Number of updates of the entry.
    std::uint64_t sequence = 0;

    auto operator<=>(const InstanceShare &) const = default;
};

/// Content of the object `budgets/<account>/<site>`. `spent` also includes the spend of incarnations whose entry has been removed.
struct BudgetObject {
    Microunits spent = 0;
    std::map<std::string, InstanceShare> shares;

    auto operator<=>(const BudgetObject &) const = default;
};

/// Sum of the amounts granted to all incarnations.
Microunits grantedSum(const BudgetObject &object);

std::string toJson(const BudgetObject &object);
/// Parses the stored object. Fails with `malformed_budget` if it is malformed.
ErrorOr<BudgetObject> parseBudgetObject(std::string_view text);

/// Revokes the grant of a dead incarnation and counts its spend, and returns the object to write. `ledgerSpent` is the incarnation's
/// cumulative spend in its settled ledger. Fails with `share_in_use` if the entry's sequence number is no longer `sequence`, because the
/// incarnation is alive in that case. The caller must have read `sequence` at least `BudgetShare::lease` ago.
ErrorOr<BudgetObject> returnDeadShare(const BudgetObject &object, const std::string &incarnation, std::uint64_t sequence, Microunits ledgerSpent);

} // namespace Godwitfork
