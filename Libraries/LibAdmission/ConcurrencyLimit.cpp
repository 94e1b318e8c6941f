#include "LibAdmission/ConcurrencyLimit.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr double minLimit = 4;
constexpr double maxLimit = 4096;
constexpr double decreaseFactor = 0.9;
/// Responses to a decrease arrive only after the requests in progress, so decreases are spaced.
constexpr Duration decreaseInterval = std::chrono::milliseconds(100);
constexpr Duration lowestLifetime = std::chrono::seconds(30);
/// A batch of four prefills is usual work for an engine; a longer wait for the first byte means a queue.
constexpr int queuedRatio = 4;
/// The mean covers some tens of requests, so that a few stragglers in a pool do not count as a queue.
constexpr int firstByteWeight = 32;
/// Below this, the ratio measures scheduling noise.
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
    const bool isStale = now - limit.lowestMeasured > lowestLifetime;
    if (limit.lowestFirstByte == Duration::zero() || isStale || firstByte <= limit.lowestFirstByte) {
        limit.lowestFirstByte = std::max(Duration(1), firstByte);
        limit.lowestMeasured = now;
    }
    // Starts at zero, since a first sample from a straggler would stand for the pool.
    limit.usualFirstByte += (firstByte - limit.usualFirstByte) / firstByteWeight;
    if (limit.usualFirstByte > std::max(firstByteFloor, limit.lowestFirstByte) * queuedRatio) {
        decrease(limit, now);
        return;
    }
    // A limit that is not in use says nothing about the pool's capacity.
    if (limit.running >= static_cast<int>(limit.limit * 0.75)) {
        limit.limit = std::min(maxLimit, limit.limit + 1 / limit.limit);
    }
}

void recordExhaustion(ConcurrencyLimit &limit, MonotonicTime now)
{
    decrease(limit, now);
}

} // namespace Godwitfork
