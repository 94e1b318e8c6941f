#include "RouterStatus.h"

namespace Godwitfork
{

bool RouterStatus::isAdmitting(MonotonicTime now) const
{
    return !this->stopping && now.time_since_epoch().count() < this->leaseUntil;
}

bool RouterStatus::isStopping() const
{
    return this->stopping;
}

void RouterStatus::extendLease(MonotonicTime until)
{
    // Only the control thread writes the lease, so comparing before storing is free of races and never shortens it.
    const std::int64_t value = until.time_since_epoch().count();
    if (value > this->leaseUntil) {
        this->leaseUntil = value;
    }
}

void RouterStatus::beginStop()
{
    this->stopping = true;
}

void RouterStatus::setLedgerAccepting(bool accepts)
{
    this->ledgerAccepting = accepts;
}

bool RouterStatus::isLedgerAccepting() const
{
    return this->ledgerAccepting;
}

void RouterStatus::beginRequest()
{
    ++this->activeCount;
}

void RouterStatus::endRequest()
{
    --this->activeCount;
}

std::int64_t RouterStatus::activeRequests() const
{
    return this->activeCount;
}

} // namespace Godwitfork
