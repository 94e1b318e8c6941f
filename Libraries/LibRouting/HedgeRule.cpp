#include "LibRouting/HedgeRule.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxSamples = 256;
/// With few samples the 95th percentile would be about the maximum.
constexpr std::size_t minSamples = 40;
constexpr std::size_t hedgePercentile = 95;
} // namespace

void recordFirstByte(FirstByteTimes &times, Duration elapsed)
{
    if (times.samples.size() < maxSamples) {
        times.samples.push_back(elapsed);
        return;
    }
    times.samples[times.nextSample] = elapsed;
    times.nextSample = (times.nextSample + 1) % maxSamples;
}

std::optional<Duration> hedgeDelay(const FirstByteTimes &times, CallKind kind)
{
    if (kind == CallKind::NonIdempotent || times.samples.size() < minSamples) {
        return std::nullopt;
    }
    std::vector<Duration> sorted = times.samples;
    const auto percentile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * hedgePercentile / 100);
    std::nth_element(sorted.begin(), percentile, sorted.end());
    return *percentile;
}

} // namespace Godwitfork
