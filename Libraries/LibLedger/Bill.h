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

/// Half-open interval [`from`, `until`) of admission times.
struct BillingPeriod {
    WallTime from;
    WallTime until;

    auto operator<=>(const BillingPeriod &) const = default;
};

/// Returns the calendar month in UTC that contains `time`.
BillingPeriod monthOf(WallTime time);

/// Bill of one client account: sums over its requests, each request identity counted once.
struct Bill {
    std::string account;
    std::int64_t requests = 0;
    Microunits amount = 0;
    Microunits houseCost = 0;
    /// Number of requests by outcome, in the order of RequestOutcome.
    std::array<std::int64_t, 4> requestsByOutcome {};

    auto operator<=>(const Bill &) const = default;
};

/// Set of billing records with one record per request identity. Adding is commutative and idempotent, so batches can be
/// read in any order and more than once. Of several records with the same identity the set holds the greatest, ordered by
/// outcome (interrupted, failed, aborted, completed) and then by amount.
class RecordSet
{
public:
    void add(const BillingRecord &record);

    std::size_t size() const;
    /// Sums the account's records whose admission second, taken from the request identity, lies in the period. The hour
    /// buckets of the store are derived from the identity as well.
    Bill bill(std::string_view account, const BillingPeriod &period) const;
    /// Returns the amount charged on each whole day of the period, oldest first; over all accounts if `account` is empty.
    std::vector<Microunits> dailySpend(std::string_view account, const BillingPeriod &period) const;

private:
    std::map<std::string, BillingRecord> records;
};

} // namespace Godwitfork
