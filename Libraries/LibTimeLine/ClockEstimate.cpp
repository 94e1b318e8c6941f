#include "LibTimeLine/ClockEstimate.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace Godwitfork
{

namespace
{
constexpr std::string_view sentSuffix = ".sent";
constexpr std::string_view receivedSuffix = ".received";

using InstancePair = std::pair<std::string, std::string>;
/// Smallest apparent delay of a message from the first instance to the second, in microseconds: the receiver's time minus the
/// sender's time, each by its own clock.
using SmallestDelays = std::map<InstancePair, std::int64_t>;

/// Event name without the suffix, joined with the message's or request's identity. Empty if the name lacks the suffix or the event
/// has no identity.
std::string messageKey(const LogEvent &event, std::string_view suffix)
{
    const std::string &identity = event.messageId.empty() ? event.requestId : event.messageId;
    if (identity.empty() || !event.name.ends_with(suffix)) {
        return {};
    }
    return event.name.substr(0, event.name.size() - suffix.size()) + " " + identity;
}

SmallestDelays findSmallestDelays(const std::vector<LogEvent> &events)
{
    std::multimap<std::string, const LogEvent *> sent;
    for (const LogEvent &event : events) {
        const std::string key = messageKey(event, sentSuffix);
        if (!key.empty()) {
            sent.emplace(key, &event);
        }
    }
    SmallestDelays delays;
    for (const LogEvent &event : events) {
        const std::string key = messageKey(event, receivedSuffix);
        // If a message was sent twice, it is ambiguous which of the two was received.
        if (key.empty() || sent.count(key) != 1) {
            continue;
        }
        const LogEvent &sender = *sent.find(key)->second;
        if (sender.instance == event.instance) {
            continue;
        }
        const auto [entry, isNew] = delays.try_emplace({sender.instance, event.instance}, event.time - sender.time);
        entry->second = std::min(entry->second, event.time - sender.time);
    }
    return delays;
}

/// Offset of the clock of `to` from the clock of `from`; `std::nullopt` if no message was exchanged between them.
std::optional<ClockEstimate> estimatePair(const SmallestDelays &delays, const std::string &from, const std::string &to)
{
    const auto forward = delays.find({from, to});
    const auto backward = delays.find({to, from});
    if (forward == delays.end() && backward == delays.end()) {
        return std::nullopt;
    }
    if (forward != delays.end() && backward != delays.end()) {
        // As in NTP: with the offset o and non-negative delays, -backward <= o <= forward. The bounds contradict each other if a
        // clock was stepped during the log; the error is then half the distance by which they cross.
        const std::int64_t offset = (forward->second - backward->second) / 2;
        const std::int64_t error = (std::abs(forward->second + backward->second) + 1) / 2;
        return ClockEstimate {offset, error, ClockBasis::BothDirections};
    }
    const std::int64_t offset = forward != delays.end() ? std::min<std::int64_t>(0, forward->second) : std::max<std::int64_t>(0, -backward->second);
    return ClockEstimate {offset, -1, ClockBasis::OneDirection};
}

/// Sort key that places smaller errors first and unbounded errors last.
std::int64_t errorRank(const ClockEstimate &estimate)
{
    return estimate.errorMicroseconds < 0 ? std::numeric_limits<std::int64_t>::max() : estimate.errorMicroseconds;
}

/// Estimate for a clock that is reached over two steps: both the offsets and the errors add up.
ClockEstimate chainEstimates(const ClockEstimate &first, const ClockEstimate &second)
{
    ClockEstimate combined;
    combined.offsetMicroseconds = first.offsetMicroseconds + second.offsetMicroseconds;
    const bool isBounded = first.errorMicroseconds >= 0 && second.errorMicroseconds >= 0;
    combined.errorMicroseconds = isBounded ? first.errorMicroseconds + second.errorMicroseconds : -1;
    combined.basis = isBounded ? ClockBasis::BothDirections : ClockBasis::OneDirection;
    return combined;
}

/// Name of the instance with the most events; empty if there are no events.
std::string chooseReference(const std::vector<LogEvent> &events)
{
    std::map<std::string, std::int64_t> counts;
    for (const LogEvent &event : events) {
        ++counts[event.instance];
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == counts.end() ? std::string() : most->first;
}
} // namespace

std::map<std::string, ClockEstimate> estimateClocks(const std::vector<LogEvent> &events)
{
    std::map<std::string, ClockEstimate> estimates;
    std::set<std::string> remaining;
    for (const LogEvent &event : events) {
        remaining.insert(event.instance);
    }
    if (events.empty()) {
        return estimates;
    }
    const SmallestDelays delays = findSmallestDelays(events);
    const std::string reference = chooseReference(events);
    estimates[reference] = {0, 0, ClockBasis::Reference};
    remaining.erase(reference);
    // Repeatedly adds the instance whose estimate has the smallest error, until no message connects a further instance.
    while (!remaining.empty()) {
        std::optional<std::pair<std::string, ClockEstimate>> best;
        for (const auto &[known, estimate] : estimates) {
            for (const std::string &instance : remaining) {
                const auto pair = estimatePair(delays, known, instance);
                if (!pair) {
                    continue;
                }
                const ClockEstimate candidate = chainEstimates(estimate, *pair);
                if (!best || errorRank(candidate) < errorRank(best->second)) {
                    best = {instance, candidate};
                }
            }
        }
        if (!best) {
            break;
        }
        estimates[best->first] = best->second;
        remaining.erase(best->first);
    }
    for (const std::string &instance : remaining) {
        estimates[instance] = {0, -1, ClockBasis::Unknown};
    }
    return estimates;
}

} // namespace Godwitfork
