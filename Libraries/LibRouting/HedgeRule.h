#pragma once

#include "LibCore/Time.h"
#include "LibRouting/RetryRules.h"

#include <optional>
#include <vector>

namespace Godwitfork
{

/// Recent times to the first byte of one pool.
struct FirstByteTimes {
    std::vector<Duration> samples;
    std::size_t next = 0;
};

void recordFirstByte(FirstByteTimes &times, Duration elapsed);

/// Wait before a second attempt is sent beside the first: the 95th percentile of the time to the first byte. Empty for
/// non-idempotent requests and while there are too few samples. The hedge also needs a retry from the account's budget.
std::optional<Duration> hedgeDelay(const FirstByteTimes &times, CallKind kind);

} // namespace Godwitfork
