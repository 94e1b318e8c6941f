#include "LibTimeLine/TimeLine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace Godwitfork
{

namespace
{
constexpr std::int64_t microsecondsInSecond = 1'000'000;
constexpr double microsecondsInMillisecond = 1000;

std::string formatTime(std::int64_t microseconds)
{
    // Rounds towards negative infinity, so that the fraction is not negative for times before 1970 either.
    std::int64_t fraction = microseconds % microsecondsInSecond;
    if (fraction < 0) {
        fraction += microsecondsInSecond;
    }
    const std::time_t seconds = (microseconds - fraction) / microsecondsInSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> buffer {};
    const std::size_t length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%S", &parts);
    std::snprintf(buffer.data() + length, buffer.size() - length, ".%06d", static_cast<int>(fraction));
    return buffer.data();
}

std::string describeEstimate(const ClockEstimate &estimate)
{
    std::array<char, 160> buffer {};
    const double offset = static_cast<double>(estimate.offsetMicroseconds) / microsecondsInMillisecond;
    switch (estimate.basis) {
    case ClockBasis::Reference:
        return "reference";
    case ClockBasis::BothDirections:
        std::snprintf(buffer.data(),
                      buffer.size(),
                      "%+.3f ms, error at most %.3f ms, corrected",
                      offset,
                      static_cast<double>(estimate.errorMicroseconds) / microsecondsInMillisecond);
        return buffer.data();
    case ClockBasis::OneDirection:
        std::snprintf(buffer.data(), buffer.size(), "%+.3f ms from messages in one direction, error unbounded, corrected", offset);
        return buffer.data();
    case ClockBasis::Unknown:
        break;
    }
    return "unknown, no matching messages, not corrected";
}

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result.push_back(c);
        }
    }
    return result;
}

std::string formatEventRow(const TimeLine &timeLine, const LogEvent &event)
{
    std::string row = "<tr class=\"" + escapeHtml(event.level) + "\">";
    for (const std::string &cell : {formatTime(correctedTime(timeLine, event)), event.instance, event.process, event.name, event.requestId, event.fields}) {
        row += "<td>" + escapeHtml(cell) + "</td>";
    }
    return row + "</tr>\n";
}

constexpr const char *pageStart = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>godwitfork time line</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
td, th { padding: 2px 8px; text-align: left; vertical-align: top; border-bottom: 1px solid #ddd; }
td { font-family: monospace; }
tr.warning { background: #fff4d6; }
tr.error { background: #fde0e0; }
label { margin-right: 1em; }
</style></head><body>
<h1>Time line</h1>
)";

constexpr const char *filterForm = R"(<p><label>Request <input id="request"></label>
<label>Instance <input id="instance"></label>
<label>Event <input id="event"></label> <span id="count"></span></p>
<table><thead><tr><th>Time (UTC)</th><th>Instance</th><th>Process</th><th>Event</th><th>Request</th><th>Fields</th></tr></thead>
<tbody id="events">
)";

// The column numbers in `inputs` are those of the cells in formatEventRow. All filters match by prefix.
constexpr const char *pageEnd = R"(</tbody></table>
<script>
const inputs = { instance: 1, event: 3, request: 4 };
function applyFilters() {
    let shown = 0;
    for (const row of document.getElementById('events').rows) {
        const matches = Object.entries(inputs).every(([id, column]) =>
            row.cells[column].textContent.startsWith(document.getElementById(id).value.trim()));
        row.hidden = !matches;
        shown += matches ? 1 : 0;
    }
    document.getElementById('count').textContent = shown + ' events';
}
for (const id of Object.keys(inputs)) {
    document.getElementById(id).addEventListener('input', applyFilters);
}
applyFilters();
</script></body></html>
)";
} // namespace

std::int64_t correctedTime(const TimeLine &timeLine, const LogEvent &event)
{
    const auto clock = timeLine.clocks.find(event.instance);
    return clock == timeLine.clocks.end() ? event.time : event.time - clock->second.offsetMicroseconds;
}

TimeLine mergeEvents(std::vector<LogEvent> events, Findings findings)
{
    TimeLine timeLine;
    timeLine.clocks = estimateClocks(events);
    timeLine.events = std::move(events);
    timeLine.findings = std::move(findings);
    std::stable_sort(timeLine.events.begin(), timeLine.events.end(), [&timeLine](const LogEvent &left, const LogEvent &right) {
        return correctedTime(timeLine, left) < correctedTime(timeLine, right);
    });
    return timeLine;
}

TimeLine filterEvents(const TimeLine &timeLine, const TimeLineFilter &filter)
{
    TimeLine filtered = timeLine;
    std::erase_if(filtered.events, [&filter](const LogEvent &event) {
        return !event.requestId.starts_with(filter.requestId) || !event.instance.starts_with(filter.instance) || !event.name.starts_with(filter.eventName);
    });
    return filtered;
}

std::string renderText(const TimeLine &timeLine)
{
    std::string text;
    for (const auto &[instance, estimate] : timeLine.clocks) {
        text += "clock of " + instance + ": " + describeEstimate(estimate) + "\n";
    }
    for (const Finding &finding : timeLine.findings.entries()) {
        text += "malformed line " + finding.file + ":" + std::to_string(finding.line) + ": " + finding.message + "\n";
    }
    for (const LogEvent &event : timeLine.events) {
        text += formatTime(correctedTime(timeLine, event)) + " " + event.instance + " " + event.name;
        text += event.requestId.empty() ? "" : " " + event.requestId;
        text += event.fields == "{}" ? "\n" : " " + event.fields + "\n";
    }
    return text;
}

std::string renderHtml(const TimeLine &timeLine)
{
    std::string page = pageStart;
    page += "<table><tr><th>Instance</th><th>Clock offset</th></tr>\n";
    for (const auto &[instance, estimate] : timeLine.clocks) {
        page += "<tr><td>" + escapeHtml(instance) + "</td><td>" + describeEstimate(estimate) + "</td></tr>\n";
    }
    page += "</table>\n";
    for (const Finding &finding : timeLine.findings.entries()) {
        page += "<p>Malformed line " + escapeHtml(finding.file) + ":" + std::to_string(finding.line) + ": " + escapeHtml(finding.message) + "</p>\n";
    }
    page += filterForm;
    for (const LogEvent &event : timeLine.events) {
        page += formatEventRow(timeLine, event);
    }
    return page + pageEnd;
}

} // namespace Godwitfork
