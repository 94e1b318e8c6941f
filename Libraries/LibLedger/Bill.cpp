#include "LibLedger/Bill.h"

#include <chrono>

namespace Godwitfork
{

namespace
{
bool contains(const BillingPeriod &period, const BillingRecord &record)
{
    const WallTime admitted = admissionSecondOf(record.requestId());
    return admitted >= period.from && admitted < period.until;
}
} // namespace

BillingPeriod monthOf(WallTime time)
{
    const std::chrono::year_month_day day(std::chrono::floor<std::chrono::days>(time));
    const std::chrono::year_month month = day.year() / day.month();
    const std::chrono::sys_days first = month / 1;
    const std::chrono::sys_days next = (month + std::chrono::months(1)) / 1;
    return {WallTime(first), WallTime(next)};
}

void RecordSet::add(const BillingRecord &record)
{
    const auto [found, added] = this->records.try_emplace(record.requestId(), record);
    if (!added && found->second < record) {
        found->second = record;
    }
}

std::size_t RecordSet::size() const
{
    return this->records.size();
}

Bill RecordSet::bill(std::string_view account, const BillingPeriod &period) const
{
    Bill bill;
    bill.account = account;
    for (const auto &[requestId, record] : this->records) {
        if (record.account() != account || !contains(period, record)) {
            continue;
        }
        bill.requests += 1;
        bill.amount += record.amount();
        bill.houseCost += record.houseCost();
        bill.requestsByOutcome.at(static_cast<std::size_t>(record.outcome())) += 1;
    }
    return bill;
}

std::vector<Microunits> RecordSet::dailySpend(std::string_view account, const BillingPeriod &period) const
{
    const auto length = std::chrono::floor<std::chrono::days>(period.until - period.from);
    std::vector<Microunits> days(static_cast<std::size_t>(length.count()), 0);
    for (const auto &[requestId, record] : this->records) {
        const bool wanted = account.empty() || record.account() == account;
        if (!wanted || !contains(period, record)) {
            continue;
        }
        const auto day = std::chrono::floor<std::chrono::days>(admissionSecondOf(requestId) - period.from);
        const auto index = static_cast<std::size_t>(day.count());
        if (index < days.size()) {
            days.at(index) += record.amount();
        }
    }
    return days;
}

} // namespace Godwitfork
