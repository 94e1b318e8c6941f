#pragma once

#include "LibCore/Time.h"

namespace Godwitfork
{

/// Adaptive limit of the requests that one traffic thread has outstanding at a pool, by additive increase and multiplicative decrease. It
/// grows while the time to the first byte is short, and shrinks when endpoints report exhaustion or that time shows a queue.
struct ConcurrencyLimit {
    /// Highest number of outstanding requests; fractions accumulate until they add up to a slot.
    double limit = 64;
    /// Number of outstanding requests.
    int running = 0;
    /// Lowest time to the first byte, replaced by the next sample after 30 s; zero before the first sample.
    Duration minFirstByte {};
    MonotonicTime minFirstByteMeasured;
    /// Moving average of the time to the first byte; zero before the first sample.
    Duration meanFirstByte {};
    MonotonicTime lastDecrease;
};

bool hasFreeSlot(const ConcurrencyLimit &limit);

/// Adds a sample of the time to the first byte and adapts the limit; to be called when the first byte of a response arrives.
void recordFirstByteTime(ConcurrencyLimit &limit, Duration firstByte, MonotonicTime now);

/// Decreases the limit; to be called when an endpoint answered that it is exhausted.
void recordExhaustion(ConcurrencyLimit &limit, MonotonicTime now);

} // namespace Godwitfork
