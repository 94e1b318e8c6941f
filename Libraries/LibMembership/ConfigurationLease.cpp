#include "LibMembership/ConfigurationLease.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
// Difference in rate between the store's clock and the own one that heartbeat counting tolerates.
constexpr int rateTolerancePercent = 2;
} // namespace

ConfigurationLease::ConfigurationLease(LeaseLimits limits) : limits(limits)
{
}

std::uint64_t ConfigurationLease::revision() const
{
    return this->current;
}

bool ConfigurationLease::adopt(std::uint64_t candidate)
{
    if (candidate <= this->current) {
        return false;
    }
    // The confirmation stays: what was no older than the former revision is no older than a greater one.
    this->current = candidate;
    return true;
}

void ConfigurationLease::confirm(MonotonicTime time)
{
    this->confirmed = this->confirmed ? std::max(*this->confirmed, time) : time;
}

void ConfigurationLease::confirmByStore(std::uint64_t seen, MonotonicTime requestSent)
{
    // A greater revision has to be adopted first; until then the answer proves the own one old.
    if (seen > this->current) {
        return;
    }
    this->storeConfirmed = this->storeConfirmed ? std::max(*this->storeConfirmed, requestSent) : requestSent;
    this->confirm(requestSent);
}

void ConfigurationLease::confirmByHeartbeat(std::uint64_t seen, MonotonicTime watchSent, int heartbeat)
{
    // A heartbeat may arrive late over a connection that was frozen. Its number bounds the time at which it was written from
    // below, since the store writes the n-th one n periods after the watch arrived.
    const Duration counted = this->limits.heartbeatPeriod * heartbeat;
    this->confirmByStore(seen, watchSent + counted * (100 - rateTolerancePercent) / 100);
}

void ConfigurationLease::confirmByPeer(std::uint64_t held, MonotonicTime confirmed)
{
    if (held <= this->current) {
        this->confirm(confirmed);
    }
}

void ConfigurationLease::confirmByMajority(MonotonicTime since)
{
    this->confirm(since);
}

bool ConfigurationLease::hasReadStore() const
{
    return this->storeConfirmed.has_value();
}

bool ConfigurationLease::mayAdmit(MonotonicTime now) const
{
    return this->hasReadStore() && this->current > 0 && now - *this->confirmed <= this->limits.lease;
}

std::optional<Duration> ConfigurationLease::confirmationAge(MonotonicTime now) const
{
    return this->confirmed ? std::optional<Duration>(now - *this->confirmed) : std::nullopt;
}

bool ConfigurationLease::isStoreReachable(MonotonicTime now) const
{
    return this->storeConfirmed && now - *this->storeConfirmed <= this->limits.lease;
}

} // namespace Godwitfork
