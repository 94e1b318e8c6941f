#include "LibRouting/RetryBudget.h"

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

bool hasRetry(const RetryBudget &budget, MonotonicTime now)
{
    const std::int64_t second = secondOf(now);
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const RetryBudget::Second &entry : budget.seconds) {
        if (entry.second >= 0 && entry.second > second - RetryBudget::windowSeconds) {
            requests += entry.requests;
            retries += entry.retries;
        }
    }
    const double limit = budget.rule.allowance + budget.rule.share * static_cast<double>(requests);
    return static_cast<double>(retries + 1) <= limit;
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
