#pragma once

#include "LibCore/Time.h"
#include "LibRouting/RetryRules.h"

#include <optional>
#include <vector>

namespace Godwitfork
{

/// Ring buffer of the last 256 times to the first byte of one pool.
struct FirstByteTimes {
    std::vector<Duration> samples;
    std::size_t nextSample = 0;
};

void recordFirstByte(FirstByteTimes &times, Duration elapsed);

/// Returns the delay after which a hedge is sent, the 95th percentile of the time to the first byte. Empty for non-idempotent
/// requests and with fewer than 40 samples. A hedge also takes a retry from the account's budget.
std::optional<Duration> hedgeDelay(const FirstByteTimes &times, CallKind kind);

} // namespace Godwitfork
