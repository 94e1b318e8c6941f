#pragma once

#include "LibTimeLine/ClockEstimate.h"
#include "LibTimeLine/LogEvent.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Events of all processes, sorted by corrected time.
struct TimeLine {
    /// Clock estimate of each instance, by instance name.
    std::map<std::string, ClockEstimate> clocks;
    std::vector<LogEvent> events;
    /// Malformed lines of the logs.
    Findings findings;
};

/// Time of an event by the reference clock, in microseconds since 1970.
std::int64_t correctedTime(const TimeLine &timeLine, const LogEvent &event);

/// Estimates the clocks and sorts the events by corrected time. Events with the same corrected time keep their order in `events`.
TimeLine mergeEvents(std::vector<LogEvent> events, Findings findings);

/// Prefixes that an event's members must have; an empty prefix matches every event.
struct TimeLineFilter {
    std::string requestId;
    std::string instance;
    std::string eventName;
};

/// Copy of the time line with the matching events only; clock estimates and findings stay as they are.
TimeLine filterEvents(const TimeLine &timeLine, const TimeLineFilter &filter);

/// Text with the clock estimates, the malformed lines and one line for each event with its corrected time in UTC.
std::string renderText(const TimeLine &timeLine);

/// HTML page without external resources that lists the events and filters them by request, instance and event name.
std::string renderHtml(const TimeLine &timeLine);

} // namespace Godwitfork
