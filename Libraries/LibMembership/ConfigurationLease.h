#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace Godwitfork
{

struct LeaseLimits {
    /// Time after a confirmation for which an instance may admit requests.
    Duration lease = std::chrono::seconds(4);
    /// Interval between the heartbeats that the store writes into a pending watch response.
    Duration heartbeatPeriod = std::chrono::seconds(1);
};

/// Lease under which one instance may admit requests with its configuration revision. A confirmation at time t states that no
/// revision greater than that of the instance was accepted before t. The statement remains true when the instance adopts a
/// greater revision.
class ConfigurationLease
{
public:
    explicit ConfigurationLease(LeaseLimits limits);

    std::uint64_t revision() const;
    /// Adopts `candidate` if it is greater than the current revision; returns false otherwise.
    bool adopt(std::uint64_t candidate);

    /// Confirms the lease by a read that was sent to the store at `requestSent` and returned `seenRevision`.
    void confirmByStore(std::uint64_t seenRevision, MonotonicTime requestSent);
    /// Confirms the lease by heartbeat number `heartbeat`, counted from 1, on a watch for changes after `seenRevision` that was
    /// sent at `watchSent`.
    void confirmByHeartbeat(std::uint64_t seenRevision, MonotonicTime watchSent, int heartbeat);
    /// Confirms the lease by a peer that holds `heldRevision` and was itself confirmed at `peerConfirmedAt` on the local clock.
    void confirmByPeer(std::uint64_t heldRevision, MonotonicTime peerConfirmedAt);
    /// Confirms the lease for the time `since`: more than half of the members were alive then or later, and none of their
    /// messages announced a greater revision.
    void confirmByMajority(MonotonicTime since);

    /// Whether the store has ever confirmed the lease. Before that the instance must not admit requests, because it may hold an old
    /// revision after a restart.
    bool hasReadStore() const;
    /// Whether requests may be admitted now: the store has confirmed the lease before, and the lease has not expired.
    bool mayAdmit(MonotonicTime now) const;
    /// Returns the time since the last confirmation, if there was one.
    std::optional<Duration> confirmationAge(MonotonicTime now) const;
    /// Whether the store has confirmed the lease within the last lease duration.
    bool isStoreReachable(MonotonicTime now) const;

private:
    void confirm(MonotonicTime time);

    LeaseLimits limits;
    std::uint64_t currentRevision = 0;
    std::optional<MonotonicTime> confirmedAt;
    std::optional<MonotonicTime> storeConfirmedAt;
};

} // namespace Godwitfork
