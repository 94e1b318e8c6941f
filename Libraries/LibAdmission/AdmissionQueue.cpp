#include "LibAdmission/AdmissionQueue.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Divisor of the moving average of the slot interval: a new sample has a weight of 1 / 16.
constexpr int intervalWeight = 16;
/// Slot interval before the first sample.
constexpr Duration defaultSlotInterval = std::chrono::milliseconds(10);
/// Bounds the memory if the expected wait is estimated far too short.
constexpr std::size_t maxEntries = 1024;
/// Upper bound of a sample. A longer interval is a pause in the traffic and does not measure the rate at which slots become free.
constexpr Duration maxSlotInterval = std::chrono::milliseconds(500);

bool canStartAt(const AdmissionQueue &queue, const QueueEntry &entry, std::size_t position)
{
    const Duration interval = queue.slotInterval > Duration::zero() ? queue.slotInterval : defaultSlotInterval;
    const Duration wait = interval * static_cast<Duration::rep>(position + 1);
    return wait <= queue.maxWait && entry.arrived + wait + entry.expectedService <= entry.deadline;
}

bool missesDeadline(const QueueEntry &entry, MonotonicTime now)
{
    return now + entry.expectedService > entry.deadline;
}
} // namespace

EnqueueResult tryEnqueue(AdmissionQueue &queue, const QueueEntry &entry)
{
    const auto insertion = std::find_if(queue.entries.begin(), queue.entries.end(), [&](const QueueEntry &queued) { return queued.priority < entry.priority; });
    const auto position = static_cast<std::size_t>(insertion - queue.entries.begin());
    if (position >= maxEntries || !canStartAt(queue, entry, position)) {
        return {};
    }
    queue.entries.insert(insertion, entry);
    EnqueueResult result {true, {}};
    // Requests behind the new one now start later. Those that arrived within `refusalLimit` and would start too late are refused at once.
    // Older ones stay queued, because a late refusal costs the caller more than a late start.
    for (std::size_t i = position + 1; i < queue.entries.size();) {
        const QueueEntry &queued = queue.entries[i];
        const bool mayBeRefused = entry.arrived - queued.arrived <= AdmissionQueue::refusalLimit;
        if (mayBeRefused && !canStartAt(queue, queued, i)) {
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
        if (!missesDeadline(next, now)) {
            return next;
        }
        expired.push_back(next);
    }
    return std::nullopt;
}

std::vector<QueueEntry> takeExpired(AdmissionQueue &queue, MonotonicTime now)
{
    std::vector<QueueEntry> expired;
    const auto isExpired = [&](const QueueEntry &entry) { return missesDeadline(entry, now); };
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
        const Duration interval = std::clamp(now - *queue.lastFreedSlot, Duration(1), maxSlotInterval);
        const bool isFirst = queue.slotInterval == Duration::zero();
        queue.slotInterval = isFirst ? interval : queue.slotInterval + (interval - queue.slotInterval) / intervalWeight;
    }
    queue.lastFreedSlot = now;
}

} // namespace Godwitfork
