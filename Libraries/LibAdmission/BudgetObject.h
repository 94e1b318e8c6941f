#pragma once

#include "LibCore/Error.h"
#include "LibCore/Money.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// What one incarnation of an instance has reported and may still spend.
struct InstanceShare {
    /// Sum of all spend that the incarnation has reported.
    Microunits spent = 0;
    /// Amount that it may spend beyond `spent`.
    Microunits granted = 0;
    /// Counts the incarnation's updates.
    std::uint64_t sequence = 0;

    auto operator<=>(const InstanceShare &) const = default;
};

/// Content of `budgets/<account>/<site>`. `spent` also covers incarnations whose entry has been removed.
struct BudgetObject {
    Microunits spent = 0;
    std::map<std::string, InstanceShare> shares;

    auto operator<=>(const BudgetObject &) const = default;
};

/// Sum of the outstanding shares.
Microunits grantedSum(const BudgetObject &object);

std::string toJson(const BudgetObject &object);
/// Fails with `malformed_budget`.
ErrorOr<BudgetObject> parseBudgetObject(std::string_view text);

/// Returns the share of a dead incarnation. `ledgerSpent` is the incarnation's sum in its settled ledger. The share is
/// returned only if the entry is still the one with `sequence`, which the caller must have read at least
/// `BudgetShare::lease` ago; otherwise the incarnation lives and the result is `share_in_use`.
ErrorOr<BudgetObject> returnDeadShare(const BudgetObject &object, const std::string &incarnation, std::uint64_t sequence, Microunits ledgerSpent);

} // namespace Godwitfork
