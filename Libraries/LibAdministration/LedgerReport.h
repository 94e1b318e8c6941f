#pragma once

#include "LibAdministration/ConfigurationStore.h"
#include "LibLedger/Bill.h"
#include "LibLedger/Forecast.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Spend of one client account in the current month.
struct AccountSpend {
    std::string account;
    Microunits spent = 0;
    /// Sum of the account's monthly budgets at all sites.
    Microunits monthlyBudget = 0;
    BillForecast forecast;

    auto operator<=>(const AccountSpend &) const = default;
};

/// Parses `YYYY-MM` as a calendar month in UTC; empty for any other text.
std::optional<BillingPeriod> parseMonth(std::string_view text);

/// Prefixes of the ledger's hour buckets that cover a period. Each prefix covers 100 hours, so that a month takes at most 9
/// list calls instead of one for each hour.
std::vector<std::string> ledgerPrefixes(const BillingPeriod &period);

/// Billing records and the accounts that they name, including accounts that are no longer configured.
struct LedgerRecords {
    RecordSet records;
    std::set<std::string> accounts;
};

/// Reads all billing records of a period. Fails with `Rejected` if a batch cannot be decoded, because a bill without it
/// would be too low.
boost::asio::awaitable<StoreOutcome<LedgerRecords>> readLedger(const ObjectStoreOperations &objects, BillingPeriod period);

/// Monthly budget of each account, summed over all sites.
std::map<std::string, Microunits> monthlyBudgets(const Configuration &configuration);

/// Computes spend and forecast of one account from the records of this month and of the 28 days before `now`.
AccountSpend computeSpend(const RecordSet &records, const std::string &account, Microunits monthlyBudget, WallTime now);

} // namespace Godwitfork
