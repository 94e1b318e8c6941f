#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

struct RateLimit {
    /// Requests per second; 0 or less means no limit.
    double rate = 0;
    /// Requests that may arrive at once after a pause.
    double burst = 1;

    auto operator<=>(const RateLimit &) const = default;
};

/// Token bucket of one client account at one site. Starts full.
struct TokenBucket {
    std::optional<double> tokens;
    MonotonicTime updated;
};

/// Takes one token. Returns zero on success, else the time after which a token is there.
Duration takeToken(TokenBucket &bucket, const RateLimit &limit, MonotonicTime now);

/// This instance's part of an account's site-wide limit, in proportion to recent demand. A tenth of the rate is divided
/// evenly, so that an instance without recent demand can serve its first request.
RateLimit instancePart(const RateLimit &siteLimit, double ownDemand, double siteDemand, int liveInstances);

} // namespace Godwitfork
