#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Godwitfork
{

/// Limits the retries and hedges of one client account to a tenth of its recent requests, so that retries cannot
/// amplify an overload. An account with few requests has a small fixed allowance instead.
struct RetryBudget {
    struct Second {
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    static constexpr int windowSeconds = 10;
    static constexpr double retryShare = 0.1;
    static constexpr std::int64_t fixedAllowance = 3;

    std::array<Second, windowSeconds> seconds;
};

/// Counts one request of a caller, not its retries.
void recordRequest(RetryBudget &budget, MonotonicTime now);

/// Takes one retry from the budget. False if the retries of the last 10 s would pass the fixed allowance plus a tenth
/// of the requests of the last 10 s.
bool takeRetry(RetryBudget &budget, MonotonicTime now);

} // namespace Godwitfork
