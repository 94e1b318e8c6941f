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
    /// The instance that the others are compared with.
    Reference,
    /// Messages in both directions bound the difference from both sides.
    BothDirections,
    /// Messages in one direction only: the difference is the smallest that lets no message arrive before it was sent.
    OneDirection,
    /// No message connects the instance with the reference; its times are not corrected.
    Unknown,
};

/// Difference of an instance's clock to the reference clock.
struct ClockEstimate {
    std::int64_t offsetMicroseconds = 0;
    /// Largest error of the offset. 0 for the reference; -1 if it has no bound.
    std::int64_t errorMicroseconds = 0;
    ClockBasis basis = ClockBasis::Unknown;

    auto operator<=>(const ClockEstimate &) const = default;
};

/// Estimates the clock differences from messages: an event whose name ends in `.sent` and one whose name ends in
/// `.received` on another instance belong together if the names agree before it and the `message_id` (or, without one, the
/// `request_id`) is the same. The reference is the instance with the most events.
std::map<std::string, ClockEstimate> estimateClocks(const std::vector<LogEvent> &events);

} // namespace Godwitfork
