#include "LibAdmission/ConcurrencyLimit.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr double minLimit = 4;
constexpr double maxLimit = 4096;
constexpr double decreaseFactor = 0.9;
/// Shortest time between two decreases. A decrease shows its effect only after the requests in progress.
constexpr Duration decreaseInterval = std::chrono::milliseconds(100);
constexpr Duration minFirstByteLifetime = std::chrono::seconds(30);
/// Ratio of the mean to the lowest time to the first byte above which requests are queueing. An engine often prefills four prompts in one
/// batch, so a ratio up to 4 does not show a queue.
constexpr int queueingRatio = 4;
/// Divisor of the moving average: a new sample has a weight of 1 / 32. The average covers some tens of requests, so that a few stragglers
/// in a pool do not count as a queue.
constexpr int firstByteWeight = 32;
/// Lower bound of the ratio's denominator. Shorter times vary with scheduling noise.
constexpr Duration firstByteFloor = std::chrono::milliseconds(25);

void decrease(ConcurrencyLimit &limit, MonotonicTime now)
{
    if (now - limit.lastDecrease < decreaseInterval) {
        return;
    }
    limit.lastDecrease = now;
    limit.limit = std::max(minLimit, limit.limit * decreaseFactor);
}
} // namespace

bool hasFreeSlot(const ConcurrencyLimit &limit)
{
    return limit.running < static_cast<int>(limit.limit);
}

void recordFirstByteTime(ConcurrencyLimit &limit, Duration firstByte, MonotonicTime now)
{
    const bool isStale = now - limit.minFirstByteMeasured > minFirstByteLifetime;
    if (limit.minFirstByte == Duration::zero() || isStale || firstByte <= limit.minFirstByte) {
        limit.minFirstByte = std::max(Duration(1), firstByte);
        limit.minFirstByteMeasured = now;
    }
    // The average starts at zero and not at the first sample, which could come from a straggler.
    limit.meanFirstByte += (firstByte - limit.meanFirstByte) / firstByteWeight;
    if (limit.meanFirstByte > std::max(firstByteFloor, limit.minFirstByte) * queueingRatio) {
        decrease(limit, now);
        return;
    }
    // Grows only while at least 75 % of the limit is in use, because otherwise the pool is not tested up to the limit.
    if (limit.running >= static_cast<int>(limit.limit * 0.75)) {
        limit.limit = std::min(maxLimit, limit.limit + 1 / limit.limit);
    }
}

void recordExhaustion(ConcurrencyLimit &limit, MonotonicTime now)
{
    decrease(limit, now);
}

} // namespace Godwitfork
