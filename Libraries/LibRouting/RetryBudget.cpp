#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
std::int64_t secondOf(MonotonicTime now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

RetryBudget::Second &currentSecond(RetryBudget &budget, std::int64_t second)
{
    RetryBudget::Second &entry = budget.seconds[static_cast<std::size_t>(second % RetryBudget::windowSeconds)];
    if (entry.second != second) {
        entry = {second, 0, 0};
    }
    return entry;
}
} // namespace

void recordRequest(RetryBudget &budget, MonotonicTime now)
{
    ++currentSecond(budget, secondOf(now)).requests;
}

RetryUse &RetryUse::operator+=(const RetryUse &other)
{
    this->requests += other.requests;
    this->retries += other.retries;
    return *this;
}

RetryUse retryUse(const RetryBudget &budget, MonotonicTime now)
{
    const std::int64_t second = secondOf(now);
    RetryUse use;
    for (const RetryBudget::Second &entry : budget.seconds) {
        if (entry.second >= 0 && entry.second > second - RetryBudget::windowSeconds) {
            use += {entry.requests, entry.retries};
        }
    }
    return use;
}

double spareRetries(const RetryRule &fleetRule, const RetryUse &fleetUse, int instances)
{
    constexpr double distributedShare = 0.5;
    const double limit = fleetRule.allowance + fleetRule.share * static_cast<double>(fleetUse.requests);
    return std::max(0.0, limit - static_cast<double>(fleetUse.retries)) * distributedShare / std::max(1, instances);
}

bool hasRetry(const RetryBudget &budget, MonotonicTime now)
{
    const RetryUse use = retryUse(budget, now);
    const double limit = budget.rule.allowance + budget.rule.share * static_cast<double>(use.requests);
    return static_cast<double>(use.retries + 1) <= limit;
}

bool takeRetry(RetryBudget &budget, MonotonicTime now)
{
    if (!hasRetry(budget, now)) {
        return false;
    }
    ++currentSecond(budget, secondOf(now)).retries;
    return true;
}

} // namespace Godwitfork
