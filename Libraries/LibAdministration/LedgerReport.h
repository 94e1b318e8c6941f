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
    /// Sum of the account's budgets at all sites.
    Microunits monthlyBudget = 0;
    BillForecast forecast;

    auto operator<=>(const AccountSpend &) const = default;
};

/// Calendar month in UTC for `YYYY-MM`; empty for any other text.
std::optional<BillingPeriod> parseMonth(std::string_view text);

/// Prefixes of the ledger's hour buckets that cover a period, 100 hours each, so that a month takes 9 lists at most and
/// not one for each hour.
std::vector<std::string> ledgerPrefixes(const BillingPeriod &period);

/// Billing records and the accounts that they name, among them accounts that are no longer configured.
struct LedgerRecords {
    RecordSet records;
    std::set<std::string> accounts;
};

/// All stored billing records of a period. Fails with `Rejected` if a batch cannot be read, because a bill without it
/// would be too low.
boost::asio::awaitable<StoreOutcome<LedgerRecords>> readLedger(const ObjectStoreOperations &objects, BillingPeriod period);

/// Accounts of a configuration with the sum of their budgets over all sites.
std::map<std::string, Microunits> monthlyBudgets(const Configuration &configuration);

/// Spend and forecast of one account, from the records of this month and of the 28 days before `now`.
AccountSpend spendOf(const RecordSet &records, const std::string &account, Microunits monthlyBudget, WallTime now);

} // namespace Godwitfork
