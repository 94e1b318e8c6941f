#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Godwitfork
{

/// A request that waits for a place at its pool.
struct QueueEntry {
    std::uint64_t id = 0;
    /// Greater is more important.
    int priority = 0;
    MonotonicTime deadline;
    /// Time that the request needs once it runs.
    Duration expectedService {};
    MonotonicTime arrived;

    auto operator<=>(const QueueEntry &) const = default;
};

/// Requests that wait for a place, in the order in which they get one: by priority, then by arrival.
struct AdmissionQueue {
    /// A queued request may be refused only this long after its arrival, so that every refusal comes within 50 ms.
    static constexpr Duration refusalLimit = std::chrono::milliseconds(40);

    std::vector<QueueEntry> entries;
    /// Moving mean of the time between two places becoming free; zero before the first one.
    Duration slotInterval {};
    std::optional<MonotonicTime> lastFreedSlot;
    /// Longest expected wait, whatever the deadline.
    Duration maxWait = std::chrono::milliseconds(500);
};

struct EnqueueResult {
    bool isAccepted = false;
    /// Queued requests of lower priority that must now be refused, because they would start too late.
    std::vector<QueueEntry> displaced;
};

/// Queues the request if it is expected to start in time. Otherwise it is to be refused at once with `overloaded`.
EnqueueResult tryEnqueue(AdmissionQueue &queue, const QueueEntry &entry);

/// A place became free: takes the first request that can still meet its deadline. Requests that cannot are appended to
/// `expired`.
std::optional<QueueEntry> takeNext(AdmissionQueue &queue, MonotonicTime now, std::vector<QueueEntry> &expired);

/// Removes the requests whose deadline has passed.
std::vector<QueueEntry> takeExpired(AdmissionQueue &queue, MonotonicTime now);

/// Removes a request whose caller has gone.
void removeEntry(AdmissionQueue &queue, std::uint64_t id);

/// Feeds the estimate of the wait; to be called for each place that became free while requests were queued.
void recordFreedSlot(AdmissionQueue &queue, MonotonicTime now);

} // namespace Godwitfork
