#include "RouterStatus.h"

namespace Godwitfork
{

bool RouterStatus::admits(MonotonicTime now) const
{
    return !this->stopping && now.time_since_epoch().count() < this->leaseUntil;
}

bool RouterStatus::isStopping() const
{
    return this->stopping;
}

void RouterStatus::extendLease(MonotonicTime until)
{
    // Only the control thread writes, so a plain comparison keeps the lease from shrinking.
    const std::int64_t value = until.time_since_epoch().count();
    if (value > this->leaseUntil) {
        this->leaseUntil = value;
    }
}

void RouterStatus::beginStop()
{
    this->stopping = true;
}

void RouterStatus::setLedgerAccepts(bool accepts)
{
    this->ledgerOpen = accepts;
}

bool RouterStatus::ledgerAccepts() const
{
    return this->ledgerOpen;
}

void RouterStatus::requestStarted()
{
    ++this->active;
}

void RouterStatus::requestFinished()
{
    --this->active;
}

std::int64_t RouterStatus::activeRequests() const
{
    return this->active;
}

} // namespace Godwitfork
