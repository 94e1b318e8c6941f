#pragma once

#include "LibTimeLine/ClockEstimate.h"
#include "LibTimeLine/LogEvent.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Events of all processes in the order of their corrected times.
struct TimeLine {
    std::map<std::string, ClockEstimate> clocks;
    std::vector<LogEvent> events;
    Findings findings;
};

/// Time of an event by the reference clock, in microseconds since 1970.
std::int64_t correctedTime(const TimeLine &timeLine, const LogEvent &event);

/// Events with the same corrected time keep the order of their file.
TimeLine mergeEvents(std::vector<LogEvent> events, Findings findings);

/// Empty members match everything.
struct TimeLineFilter {
    std::string requestId;
    std::string instance;
    std::string event;
};

TimeLine filterEvents(const TimeLine &timeLine, const TimeLineFilter &filter);

/// The clock estimates, the malformed lines and one line for each event, with the corrected time in UTC.
std::string renderText(const TimeLine &timeLine);

/// One HTML page without external resources, with filters by request, instance and event.
std::string renderHtml(const TimeLine &timeLine);

} // namespace Godwitfork
