#pragma once

#include "LibCore/Time.h"

#include <atomic>
#include <cstdint>

namespace Godwitfork
{

/// State shared between the control thread and the traffic threads. Traffic threads check the lease for each request, so that
/// after a suspension of the process they detect an expired lease even before the control thread has run.
class RouterStatus
{
public:
    /// Whether the instance accepts new requests: its configuration lease is valid and no stop is in progress.
    bool isAdmitting(MonotonicTime now) const;
    bool isStopping() const;

    void extendLease(MonotonicTime until);
    void beginStop();

    /// Whether the ledger accepts new requests; see JournalAdmission.
    void setLedgerAccepting(bool accepts);
    bool isLedgerAccepting() const;

    void beginRequest();
    void endRequest();
    std::int64_t activeRequests() const;

private:
    /// End of the configuration lease in ticks of the monotonic clock; 0 before the first lease.
    std::atomic<std::int64_t> leaseUntil {0};
    std::atomic<bool> stopping {false};
    std::atomic<bool> ledgerAccepting {true};
    std::atomic<std::int64_t> activeCount {0};
};

} // namespace Godwitfork
