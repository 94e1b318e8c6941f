#include "LibAdministration/LedgerReport.h"

#include "LibLedger/RecordCodec.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr std::int64_t hoursInPrefix = 100;
constexpr std::size_t monthLength = 7;
constexpr std::size_t yearDigits = 4;
/// Days of history on which the forecast is based.
constexpr int forecastDays = 28;

std::int64_t hourOf(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::hours>(time.time_since_epoch()).count();
}

bool parseDigits(std::string_view text, int &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && number > 0;
}

Microunits sum(const std::vector<Microunits> &amounts)
{
    return std::accumulate(amounts.begin(), amounts.end(), Microunits {0});
}
} // namespace

std::optional<BillingPeriod> parseMonth(std::string_view text)
{
    int year = 0;
    int month = 0;
    const bool isWellFormed = text.size() == monthLength && text[yearDigits] == '-' && parseDigits(text.substr(0, yearDigits), year)
        && parseDigits(text.substr(yearDigits + 1), month);
    const std::chrono::year_month_day day {std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)), std::chrono::day(1)};
    if (!isWellFormed || !day.ok()) {
        return std::nullopt;
    }
    return monthOf(WallTime(std::chrono::sys_days(day)));
}

std::vector<std::string> ledgerPrefixes(const BillingPeriod &period)
{
    std::vector<std::string> prefixes;
    const std::int64_t last = (hourOf(period.until) - 1) / hoursInPrefix;
    for (std::int64_t block = hourOf(period.from) / hoursInPrefix; block <= last; ++block) {
        prefixes.push_back("ledger/" + std::to_string(block));
    }
    return prefixes;
}

Asio::awaitable<StoreOutcome<LedgerRecords>> readLedger(const ObjectStoreOperations &objects, BillingPeriod period)
{
    LedgerRecords ledger;
    for (const std::string &prefix : ledgerPrefixes(period)) {
        CO_TRY(batches, co_await objects.list(prefix));
        for (const StoredObject &batch : batches) {
            const auto decoded = decodeBatch(batch.value);
            if (!decoded) {
                co_return StoreError {StoreFailure::Rejected, batch.name + ": " + decoded.error().message, 0};
            }
            for (const BillingRecord &record : decoded.value()) {
                ledger.records.add(record);
                ledger.accounts.insert(record.account());
            }
        }
    }
    co_return ledger;
}

std::map<std::string, Microunits> monthlyBudgets(const Configuration &configuration)
{
    std::map<std::string, Microunits> budgets;
    for (const auto &[siteName, site] : configuration.sites) {
        for (const auto &[name, account] : site.accounts) {
            budgets[name] += account.monthlyBudget;
        }
    }
    return budgets;
}

AccountSpend computeSpend(const RecordSet &records, const std::string &account, Microunits monthlyBudget, WallTime now)
{
    const BillingPeriod month = monthOf(now);
    const WallTime today = std::chrono::floor<std::chrono::days>(now);
    SpendHistory history;
    history.completeDays = records.dailySpend(account, {today - std::chrono::days(forecastDays), today});
    // An account without spend in the window has no history; a history of zeros would forecast a bill of zero.
    if (sum(history.completeDays) == 0) {
        history.completeDays.clear();
    }
    history.spentThisMonth = sum(records.dailySpend(account, {month.from, today}));
    history.remainingDays = static_cast<int>(std::chrono::duration_cast<std::chrono::days>(month.until - today).count());
    AccountSpend spend;
    spend.account = account;
    spend.monthlyBudget = monthlyBudget;
    spend.spent = records.bill(account, month).amount;
    spend.forecast = forecastMonth(history);
    return spend;
}

} // namespace Godwitfork
