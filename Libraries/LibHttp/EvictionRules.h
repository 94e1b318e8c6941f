#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Godwitfork
{

/// What a connection to a server does: waits for a request, receives one, waits for its answer, or discards what a refused client still sends.
enum class ConnectionPhase { Idle, Receiving, Serving, Closing };

/// Bytes of one request that have arrived, and how fast.
class ReceiveProgress
{
public:
    void begin(MonotonicTime now);
    void add(std::size_t bytes, MonotonicTime now);

    MonotonicTime startedAt() const;
    std::uint64_t receivedBytes() const;
    /// Rate of arrival within about the last half second.
    double recentBytesPerSecond(MonotonicTime now) const;

private:
    MonotonicTime start;
    std::uint64_t total = 0;
    /// Counts bytes of the current window and of the one before.
    MonotonicTime windowStart;
    std::size_t current = 0;
    std::size_t previous = 0;
};

/// Least progress of a request that is being received.
struct ProgressLimits {
    /// Time from the start of the request in which no progress is asked for.
    Duration grace = std::chrono::seconds(10);
    /// Bytes that must have arrived by then for each second since the end of the grace time.
    double bytesPerSecond = 1024;

    auto operator<=>(const ProgressLimits &) const = default;
};

/// Whether a request arrives more slowly than allowed.
bool isTooSlow(const ReceiveProgress &progress, const ProgressLimits &limits, MonotonicTime now);

/// A connection as far as eviction looks at it.
struct EvictionCandidate {
    ConnectionPhase phase = ConnectionPhase::Idle;
    /// Start of the phase.
    MonotonicTime since;
    double recentBytesPerSecond = 0;
    /// Bytes that an eviction releases.
    std::size_t heldBytes = 0;
};

/// Chooses the connection to close when memory or connections are short; returns its index, or nothing if none may be closed. A request that is being
/// served is never chosen, nor a connection whose request makes good progress or has only just begun. Requests that arrive slowest go first, then
/// clients that were refused, then connections without a request.
std::optional<std::size_t> chooseEviction(const std::vector<EvictionCandidate> &candidates, MonotonicTime now);

} // namespace Godwitfork
