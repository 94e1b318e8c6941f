#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Godwitfork
{

/// Upper bound of the retries in a window: `allowance + share * requests`.
struct RetryRule {
    /// Number of permitted retries per request of the window.
    double share = 0.1;
    /// Number of retries permitted regardless of the requests, so that retries are possible with little traffic.
    double allowance = 3;

    auto operator<=>(const RetryRule &) const = default;
};

/// Numbers of requests and retries in one window.
struct RetryUse {
    std::int64_t requests = 0;
    std::int64_t retries = 0;

    RetryUse &operator+=(const RetryUse &other);
    auto operator<=>(const RetryUse &) const = default;
};

/// Limits the retries and hedges of a sliding window of 10 s to a share of its requests, so that retries cannot amplify an overload.
/// The default rule is that of one client account.
struct RetryBudget {
    /// Counts of one second; `second` is -1 for an unused entry.
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

/// Number of retries that one of `instances` instances may take beyond its own part, given the last known use of all instances. Half
/// of the fleet's unused retries are distributed evenly; the other half is held back, because several instances may use their part
/// before the reported use includes it.
double spareRetries(const RetryRule &fleetRule, const RetryUse &fleetUse, int instances);

/// Counts a caller's request; its retries are counted by `takeRetry`.
void recordRequest(RetryBudget &budget, MonotonicTime now);

/// Whether `takeRetry` would succeed now.
bool hasRetry(const RetryBudget &budget, MonotonicTime now);

/// Takes one retry from the budget. Returns false, without taking one, if the retries of the last 10 s would exceed the bound of the
/// rule.
bool takeRetry(RetryBudget &budget, MonotonicTime now);

} // namespace Godwitfork
