#include "LibAdmission/TokenBucket.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Share of a site's limit that is divided evenly among the instances.
constexpr double evenlyDividedShare = 0.1;
constexpr double microsecondsPerSecond = 1e6;
} // namespace

Duration takeToken(TokenBucket &bucket, const RateLimit &limit, MonotonicTime now)
{
    if (limit.rate <= 0) {
        return Duration::zero();
    }
    const double elapsed = static_cast<double>((now - bucket.updated).count()) / microsecondsPerSecond;
    const double tokens = bucket.tokens ? *bucket.tokens + std::max(0.0, elapsed) * limit.rate : limit.burst;
    bucket.tokens = std::min(limit.burst, tokens);
    bucket.updated = std::max(bucket.updated, now);
    if (*bucket.tokens >= 1) {
        *bucket.tokens -= 1;
        return Duration::zero();
    }
    return Duration(static_cast<Duration::rep>((1 - *bucket.tokens) / limit.rate * microsecondsPerSecond) + 1);
}

RateLimit instanceRateLimit(const RateLimit &siteLimit, double ownDemand, double siteDemand, int liveInstances)
{
    const int instances = std::max(1, liveInstances);
    const double even = 1.0 / instances;
    const double byDemand = siteDemand > 0 ? std::clamp(ownDemand / siteDemand, 0.0, 1.0) : even;
    const double part = evenlyDividedShare * even + (1 - evenlyDividedShare) * byDemand;
    // With a burst below one token every request would be refused.
    return {siteLimit.rate * part, std::max(1.0, siteLimit.burst * part)};
}

} // namespace Godwitfork
