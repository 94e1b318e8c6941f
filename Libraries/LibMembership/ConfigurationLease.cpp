#include "LibMembership/ConfigurationLease.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
// Tolerated difference in rate between the store's clock and the local one when time is measured by counting heartbeats.
constexpr int rateTolerancePercent = 2;
} // namespace

ConfigurationLease::ConfigurationLease(LeaseLimits limits) : limits(limits)
{
}

std::uint64_t ConfigurationLease::revision() const
{
    return this->currentRevision;
}

bool ConfigurationLease::adopt(std::uint64_t candidate)
{
    if (candidate <= this->currentRevision) {
        return false;
    }
    // The confirmation remains valid: if no revision greater than the previous one was accepted before a time, no revision
    // greater than the new one was.
    this->currentRevision = candidate;
    return true;
}

void ConfigurationLease::confirm(MonotonicTime time)
{
    this->confirmedAt = this->confirmedAt ? std::max(*this->confirmedAt, time) : time;
}

void ConfigurationLease::confirmByStore(std::uint64_t seenRevision, MonotonicTime requestSent)
{
    // A greater revision has to be adopted first. Until then the response shows that the current revision is outdated.
    if (seenRevision > this->currentRevision) {
        return;
    }
    this->storeConfirmedAt = this->storeConfirmedAt ? std::max(*this->storeConfirmedAt, requestSent) : requestSent;
    this->confirm(requestSent);
}

void ConfigurationLease::confirmByHeartbeat(std::uint64_t seenRevision, MonotonicTime watchSent, int heartbeat)
{
    // A heartbeat may arrive late over a connection that was frozen, so its arrival time proves nothing. The store writes the
    // n-th heartbeat n periods after the watch arrived, so it was written at least n periods after the watch was sent.
    const Duration elapsed = this->limits.heartbeatPeriod * heartbeat;
    this->confirmByStore(seenRevision, watchSent + elapsed * (100 - rateTolerancePercent) / 100);
}

void ConfigurationLease::confirmByPeer(std::uint64_t heldRevision, MonotonicTime peerConfirmedAt)
{
    if (heldRevision <= this->currentRevision) {
        this->confirm(peerConfirmedAt);
    }
}

void ConfigurationLease::confirmByMajority(MonotonicTime since)
{
    this->confirm(since);
}

bool ConfigurationLease::hasReadStore() const
{
    return this->storeConfirmedAt.has_value();
}

bool ConfigurationLease::mayAdmit(MonotonicTime now) const
{
    return this->hasReadStore() && this->currentRevision > 0 && now - *this->confirmedAt <= this->limits.lease;
}

std::optional<Duration> ConfigurationLease::confirmationAge(MonotonicTime now) const
{
    return this->confirmedAt ? std::optional<Duration>(now - *this->confirmedAt) : std::nullopt;
}

bool ConfigurationLease::isStoreReachable(MonotonicTime now) const
{
    return this->storeConfirmedAt && now - *this->storeConfirmedAt <= this->limits.lease;
}

} // namespace Godwitfork
