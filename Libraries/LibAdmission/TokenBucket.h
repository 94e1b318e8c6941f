#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

struct RateLimit {
    /// Requests per second; 0 or less for no limit.
    double rate = 0;
    /// Number of requests that are admitted at once after a pause; the capacity of the bucket.
    double burst = 1;

    auto operator<=>(const RateLimit &) const = default;
};

/// Token bucket of one client account at one site.
struct TokenBucket {
    /// Number of tokens; empty before the first request, which finds the bucket full.
    std::optional<double> tokens;
    MonotonicTime updated;
};

/// Takes one token. Returns zero on success, otherwise the time until a token is available.
Duration takeToken(TokenBucket &bucket, const RateLimit &limit, MonotonicTime now);

/// Returns this instance's part of an account's site-wide limit. Nine tenths are divided in proportion to the demand, `ownDemand` of
/// `siteDemand`. One tenth is divided evenly, so that an instance without demand so far can serve its first request.
RateLimit instanceRateLimit(const RateLimit &siteLimit, double ownDemand, double siteDemand, int liveInstances);

} // namespace Godwitfork
