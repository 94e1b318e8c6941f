#pragma once

#include "LibLedger/BillingRecord.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Time span from the inclusive `from` to the exclusive `until`.
struct BillingPeriod {
    WallTime from;
    WallTime until;

    auto operator<=>(const BillingPeriod &) const = default;
};

/// Calendar month in UTC.
BillingPeriod monthOf(WallTime time);

/// Bill of one client account: sums over distinct request identities.
struct Bill {
    std::string account;
    std::int64_t requests = 0;
    Microunits amount = 0;
    Microunits houseCost = 0;
    /// Number of requests by outcome, in the order of RequestOutcome.
    std::array<std::int64_t, 4> requestsByOutcome {};

    auto operator<=>(const Bill &) const = default;
};

/// Records of any number of batches, in any order and any number of times. Of several records of one identity the
/// greatest counts: completed before aborted, failed and interrupted, then the greater amount.
class RecordSet
{
public:
    void add(const BillingRecord &record);

    std::size_t size() const;
    /// Records are assigned to the period by the admission second in their identity, as the hour buckets are.
    Bill bill(std::string_view account, const BillingPeriod &period) const;
    /// Amount for each whole day of the period, oldest first. All accounts if `account` is empty.
    std::vector<Microunits> dailySpend(std::string_view account, const BillingPeriod &period) const;

private:
    std::map<std::string, BillingRecord> records;
};

} // namespace Godwitfork
