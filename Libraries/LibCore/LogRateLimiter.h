#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Godwitfork
{

enum class LogImportance {
    /// An event of normal operation, such as a served request.
    Routine,
    /// A failure, or a change of the state that the process assumes for other components.
    Important,
};

/// Token bucket that limits the rate of log lines. Part of the burst is reserved for important lines.
class LogRateLimiter
{
public:
    LogRateLimiter(double linesPerSecond, double burst);

    /// Takes a token for one line. Returns false and counts the line as dropped if there is none.
    bool tryTake(LogImportance importance, MonotonicTime now);
    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t takeDropped();

private:
    double linesPerSecond;
    double burst;
    double tokens;
    MonotonicTime lastRefill;
    std::uint64_t dropped = 0;
};

} // namespace Godwitfork
