#pragma once

#include "LibCore/Time.h"

namespace Godwitfork
{

/// Adaptive limit of the requests that one traffic thread has outstanding at a pool. It grows while the pool answers
/// promptly and shrinks when endpoints report exhaustion or the time to the first byte shows that requests queue.
struct ConcurrencyLimit {
    double limit = 64;
    int running = 0;
    /// Lowest time to the first byte of the last 30 s; zero before the first sample.
    Duration lowestFirstByte {};
    MonotonicTime lowestMeasured;
    /// Moving mean of the time to the first byte; zero before the first sample.
    Duration usualFirstByte {};
    MonotonicTime lastDecrease;
};

bool hasFreeSlot(const ConcurrencyLimit &limit);

/// To be called when the first byte of a response arrives.
void recordFirstByteTime(ConcurrencyLimit &limit, Duration firstByte, MonotonicTime now);

/// To be called when an endpoint answered that it is exhausted.
void recordExhaustion(ConcurrencyLimit &limit, MonotonicTime now);

} // namespace Godwitfork
