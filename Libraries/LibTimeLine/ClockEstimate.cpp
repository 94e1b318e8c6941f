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
/// Smallest apparent delay from the first instance to the second: the receiver's time minus the sender's.
using SmallestDelays = std::map<InstancePair, std::int64_t>;

/// Name before a suffix together with the message's identity; empty without the suffix or an identity.
std::string messageKey(const LogEvent &event, std::string_view suffix)
{
    const std::string &identity = event.messageId.empty() ? event.requestId : event.messageId;
    if (identity.empty() || !event.event.ends_with(suffix)) {
        return {};
    }
    return event.event.substr(0, event.event.size() - suffix.size()) + " " + identity;
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
        // A message sent twice cannot be matched: the received one may be either.
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

/// Offset of `to`'s clock against `from`'s, if a message connects them.
std::optional<ClockEstimate> estimatePair(const SmallestDelays &delays, const std::string &from, const std::string &to)
{
    const auto forth = delays.find({from, to});
    const auto back = delays.find({to, from});
    if (forth == delays.end() && back == delays.end()) {
        return std::nullopt;
    }
    if (forth != delays.end() && back != delays.end()) {
        // As in NTP: with offset o and non-negative delays, -back <= o <= forth. Delays may make the bounds cross if a clock
        // was stepped during the log; the error is then the width of the contradiction.
        const std::int64_t offset = (forth->second - back->second) / 2;
        const std::int64_t error = (std::abs(forth->second + back->second) + 1) / 2;
        return ClockEstimate {offset, error, ClockBasis::BothDirections};
    }
    const std::int64_t offset = forth != delays.end() ? std::min<std::int64_t>(0, forth->second) : std::max<std::int64_t>(0, -back->second);
    return ClockEstimate {offset, -1, ClockBasis::OneDirection};
}

/// Sort key: bounded errors first, the smallest first.
std::int64_t errorRank(const ClockEstimate &estimate)
{
    return estimate.errorMicroseconds < 0 ? std::numeric_limits<std::int64_t>::max() : estimate.errorMicroseconds;
}

ClockEstimate combine(const ClockEstimate &first, const ClockEstimate &second)
{
    ClockEstimate combined;
    combined.offsetMicroseconds = first.offsetMicroseconds + second.offsetMicroseconds;
    const bool bounded = first.errorMicroseconds >= 0 && second.errorMicroseconds >= 0;
    combined.errorMicroseconds = bounded ? first.errorMicroseconds + second.errorMicroseconds : -1;
    combined.basis = bounded ? ClockBasis::BothDirections : ClockBasis::OneDirection;
    return combined;
}

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
    // Attaches the remaining instance with the smallest error until no message leads to another one.
    while (!remaining.empty()) {
        std::optional<std::pair<std::string, ClockEstimate>> best;
        for (const auto &[known, estimate] : estimates) {
            for (const std::string &instance : remaining) {
                const auto pair = estimatePair(delays, known, instance);
                if (!pair) {
                    continue;
                }
                const ClockEstimate candidate = combine(estimate, *pair);
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
