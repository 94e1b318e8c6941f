#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace Godwitfork
{

struct LeaseLimits {
    Duration lease = std::chrono::seconds(4);
    /// Interval at which the store writes heartbeats into a pending watch.
    Duration heartbeatPeriod = std::chrono::seconds(1);
};

/// Right of one instance to admit work under its configuration revision. A confirmation time t states that no revision
/// greater than the instance's was accepted before t. It stays true when the instance adopts a greater revision.
class ConfigurationLease
{
public:
    explicit ConfigurationLease(LeaseLimits limits);

    std::uint64_t revision() const;
    /// Takes a strictly greater revision; false for any other.
    bool adopt(std::uint64_t candidate);

    /// The store answered a read that was sent at `requestSent` with this revision.
    void confirmByStore(std::uint64_t seen, MonotonicTime requestSent);
    /// Heartbeat number `heartbeat`, counted from 1, arrived on a watch for changes after `seen` sent at `watchSent`.
    void confirmByHeartbeat(std::uint64_t seen, MonotonicTime watchSent, int heartbeat);
    /// A peer that holds `held` was confirmed at `confirmed` on the own clock.
    void confirmByPeer(std::uint64_t held, MonotonicTime confirmed);
    /// More than half of the members have given signs of life since `since`.
    void confirmByMajority(MonotonicTime since);

    /// False before the first answer of the store, because a starting instance may know only an old revision.
    bool hasReadStore() const;
    bool mayAdmit(MonotonicTime now) const;
    /// Time since the last confirmation, if there was one.
    std::optional<Duration> confirmationAge(MonotonicTime now) const;
    /// The store confirmed within the lease.
    bool isStoreReachable(MonotonicTime now) const;

private:
    void confirm(MonotonicTime time);

    LeaseLimits limits;
    std::uint64_t current = 0;
    std::optional<MonotonicTime> confirmed;
    std::optional<MonotonicTime> storeConfirmed;
};

} // namespace Godwitfork
