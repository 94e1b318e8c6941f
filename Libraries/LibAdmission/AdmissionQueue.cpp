#include "LibAdmission/AdmissionQueue.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr int intervalWeight = 16;
/// Assumed before a place became free.
constexpr Duration assumedPlaceInterval = std::chrono::milliseconds(10);
/// Bounds the memory if the estimate of the wait is far off.
constexpr std::size_t maxEntries = 1024;
/// A pause in the traffic is no measurement of the pool's pace.
constexpr Duration maxPlaceInterval = std::chrono::milliseconds(500);

bool canStartAt(const AdmissionQueue &queue, const QueueEntry &entry, std::size_t position)
{
    const Duration interval = queue.slotInterval > Duration::zero() ? queue.slotInterval : assumedPlaceInterval;
    const Duration wait = interval * static_cast<Duration::rep>(position + 1);
    return wait <= queue.maxWait && entry.arrived + wait + entry.expectedService <= entry.deadline;
}

bool isHopeless(const QueueEntry &entry, MonotonicTime now)
{
    return now + entry.expectedService > entry.deadline;
}
} // namespace

EnqueueResult tryEnqueue(AdmissionQueue &queue, const QueueEntry &entry)
{
    const auto place = std::find_if(queue.entries.begin(), queue.entries.end(), [&](const QueueEntry &queued) { return queued.priority < entry.priority; });
    const auto position = static_cast<std::size_t>(place - queue.entries.begin());
    if (position >= maxEntries || !canStartAt(queue, entry, position)) {
        return {};
    }
    queue.entries.insert(place, entry);
    EnqueueResult result {true, {}};
    // Requests behind the new one now start later. Young ones are refused at once; older ones keep their place, since a
    // late refusal costs the caller more than a late start.
    for (std::size_t i = position + 1; i < queue.entries.size();) {
        const QueueEntry &queued = queue.entries[i];
        const bool isYoung = entry.arrived - queued.arrived <= AdmissionQueue::refusalLimit;
        if (isYoung && !canStartAt(queue, queued, i)) {
            result.displaced.push_back(queued);
            queue.entries.erase(queue.entries.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        ++i;
    }
    return result;
}

std::optional<QueueEntry> takeNext(AdmissionQueue &queue, MonotonicTime now, std::vector<QueueEntry> &expired)
{
    while (!queue.entries.empty()) {
        const QueueEntry next = queue.entries.front();
        queue.entries.erase(queue.entries.begin());
        if (!isHopeless(next, now)) {
            return next;
        }
        expired.push_back(next);
    }
    return std::nullopt;
}

std::vector<QueueEntry> takeExpired(AdmissionQueue &queue, MonotonicTime now)
{
    std::vector<QueueEntry> expired;
    const auto isExpired = [&](const QueueEntry &entry) { return isHopeless(entry, now); };
    std::copy_if(queue.entries.begin(), queue.entries.end(), std::back_inserter(expired), isExpired);
    std::erase_if(queue.entries, isExpired);
    return expired;
}

void removeEntry(AdmissionQueue &queue, std::uint64_t id)
{
    std::erase_if(queue.entries, [&](const QueueEntry &entry) { return entry.id == id; });
}

void recordFreedSlot(AdmissionQueue &queue, MonotonicTime now)
{
    if (queue.lastFreedSlot) {
        const Duration interval = std::clamp(now - *queue.lastFreedSlot, Duration(1), maxPlaceInterval);
        const bool isFirst = queue.slotInterval == Duration::zero();
        queue.slotInterval = isFirst ? interval : queue.slotInterval + (interval - queue.slotInterval) / intervalWeight;
    }
    queue.lastFreedSlot = now;
}

} // namespace Godwitfork
