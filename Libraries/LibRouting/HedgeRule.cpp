#include "LibRouting/HedgeRule.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxSamples = 256;
/// With fewer samples the percentile would be the maximum of a handful of requests.
constexpr std::size_t minSamples = 40;
constexpr std::size_t hedgePercentile = 95;
} // namespace

void recordFirstByte(FirstByteTimes &times, Duration elapsed)
{
    if (times.samples.size() < maxSamples) {
        times.samples.push_back(elapsed);
        return;
    }
    times.samples[times.next] = elapsed;
    times.next = (times.next + 1) % maxSamples;
}

std::optional<Duration> hedgeDelay(const FirstByteTimes &times, CallKind kind)
{
    if (kind == CallKind::NonIdempotent || times.samples.size() < minSamples) {
        return std::nullopt;
    }
    std::vector<Duration> sorted = times.samples;
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * hedgePercentile / 100);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

} // namespace Godwitfork
