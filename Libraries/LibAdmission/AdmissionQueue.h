#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Godwitfork
{

/// Request that waits for a free concurrency slot of its pool.
struct QueueEntry {
    std::uint64_t id = 0;
    /// Requests with a higher value are served first.
    int priority = 0;
    MonotonicTime deadline;
    /// Expected time that the request needs after its start, which must end before the deadline.
    Duration expectedService {};
    MonotonicTime arrived;

    auto operator<=>(const QueueEntry &) const = default;
};

/// Requests that wait for a slot, in the order in which they get one: by descending priority, then by arrival.
struct AdmissionQueue {
    /// Longest time after its arrival at which a queued request may be displaced, so that a refusal is sent within 50 ms.
    static constexpr Duration refusalLimit = std::chrono::milliseconds(40);

    std::vector<QueueEntry> entries;
    /// Moving average of the time between two slots becoming free; zero before the first sample.
    Duration slotInterval {};
    /// Time at which a slot last became free; empty before the first one and after a reset by the caller.
    std::optional<MonotonicTime> lastFreedSlot;
    /// Longest expected wait with which a request is accepted, whatever its deadline.
    Duration maxWait = std::chrono::milliseconds(500);
};

struct EnqueueResult {
    bool isAccepted = false;
    /// Requests of lower priority that were removed from the queue because they would start too late. The caller must refuse them.
    std::vector<QueueEntry> displaced;
};

/// Queues the request if it is expected to start in time. If it is not accepted, the caller refuses it at once with `overloaded`.
EnqueueResult tryEnqueue(AdmissionQueue &queue, const QueueEntry &entry);

/// Removes and returns the first request that can still meet its deadline; to be called when a slot became free. Requests before it that
/// cannot are removed and appended to `expired`.
std::optional<QueueEntry> takeNext(AdmissionQueue &queue, MonotonicTime now, std::vector<QueueEntry> &expired);

/// Removes and returns the requests that can no longer meet their deadline.
std::vector<QueueEntry> takeExpired(AdmissionQueue &queue, MonotonicTime now);

/// Removes the request, for example because its caller has disconnected.
void removeEntry(AdmissionQueue &queue, std::uint64_t id);

/// Updates the moving average of the slot interval; to be called for each slot that became free while requests were queued.
void recordFreedSlot(AdmissionQueue &queue, MonotonicTime now);

} // namespace Godwitfork
