#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Godwitfork
{

enum class LogImportance {
    /// Routine, such as a request that was served.
    Routine,
    /// A failure or a change of what the process believes.
    Important,
};

/// Bounds the log's volume under load. A part of the budget is kept for important lines.
class LogBudget
{
public:
    LogBudget(double linesPerSecond, double burst);

    /// Whether a line may be written now. Lines that may not are counted.
    bool take(LogImportance importance, MonotonicTime now);
    /// Lines refused since the last call.
    std::uint64_t takeDropped();

private:
    double linesPerSecond;
    double burst;
    double available;
    MonotonicTime refilled;
    std::uint64_t dropped = 0;
};

} // namespace Godwitfork
