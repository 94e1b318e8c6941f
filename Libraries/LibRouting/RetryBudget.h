#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Godwitfork
{

/// Bound of the retries in a window.
struct RetryRule {
    /// Retries for each request of the window.
    double share = 0.1;
    /// Retries allowed besides, so that few requests do not mean no retry.
    double allowance = 3;

    auto operator<=>(const RetryRule &) const = default;
};

/// Requests and retries of one window.
struct RetryUse {
    std::int64_t requests = 0;
    std::int64_t retries = 0;

    RetryUse &operator+=(const RetryUse &other);
    auto operator<=>(const RetryUse &) const = default;
};

/// Limits retries and hedges to a share of the recent requests, so that retries cannot amplify an overload. The default
/// rule is that of one client account.
struct RetryBudget {
    struct Second {
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    static constexpr int windowSeconds = 10;

    RetryRule rule;
    std::array<Second, windowSeconds> seconds {};
};

RetryUse retryUse(const RetryBudget &budget, MonotonicTime now);

/// Retries that one of `instances` instances may take beyond its own share, from what all together had left at the last look.
/// Each look gives out half of the rest, so that instances which use theirs at once stay below the rule of all.
double spareRetries(const RetryRule &ruleOfAll, const RetryUse &useOfAll, int instances);

/// Counts one request of a caller, not its retries.
void recordRequest(RetryBudget &budget, MonotonicTime now);

/// Whether `takeRetry` would succeed now.
bool hasRetry(const RetryBudget &budget, MonotonicTime now);

/// Takes one retry from the budget. False if the retries of the last 10 s would pass the rule's allowance plus its
/// share of the requests of the last 10 s.
bool takeRetry(RetryBudget &budget, MonotonicTime now);

} // namespace Godwitfork
