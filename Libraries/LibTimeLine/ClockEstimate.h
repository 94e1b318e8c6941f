#pragma once

#include "LibTimeLine/LogEvent.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class ClockBasis {
    /// The clock of this instance is the reference.
    Reference,
    /// Messages in both directions give a lower and an upper bound of the offset.
    BothDirections,
    /// Messages in one direction give one bound only; the offset is the smallest with which no message arrives before it was sent.
    OneDirection,
    /// No chain of messages connects the instance with the reference; its times are not corrected.
    Unknown,
};

/// Estimated offset of an instance's clock from the reference clock.
struct ClockEstimate {
    /// Time by the instance's clock minus time by the reference clock, in microseconds.
    std::int64_t offsetMicroseconds = 0;
    /// Upper bound of the offset's absolute error, in microseconds; 0 for the reference, -1 if there is no bound.
    std::int64_t errorMicroseconds = 0;
    ClockBasis basis = ClockBasis::Unknown;

    auto operator<=>(const ClockEstimate &) const = default;
};

/// Estimates the clock offset of each instance from the messages between them. An event `NAME.sent` matches an event
/// `NAME.received` of another instance if both have the same `message_id` or, without one, the same `request_id`. The reference
/// is the instance with the most events.
std::map<std::string, ClockEstimate> estimateClocks(const std::vector<LogEvent> &events);

} // namespace Godwitfork
