#pragma once

#include "LibCore/Time.h"

#include <atomic>
#include <cstdint>

namespace Godwitfork
{

/// State that the control thread sets and every traffic thread reads for each request, so that a traffic thread that wakes
/// from a pause sees an expired lease before the control thread has run.
class RouterStatus
{
public:
    /// True while the instance takes new requests: its configuration lease holds and no stop is under way.
    bool admits(MonotonicTime now) const;
    bool isStopping() const;

    void extendLease(MonotonicTime until);
    void beginStop();

    /// Whether the ledger can take another request; see JournalAdmission.
    void setLedgerAccepts(bool accepts);
    bool ledgerAccepts() const;

    void requestStarted();
    void requestFinished();
    std::int64_t activeRequests() const;

private:
    std::atomic<std::int64_t> leaseUntil {0};
    std::atomic<bool> stopping {false};
    std::atomic<bool> ledgerOpen {true};
    std::atomic<std::int64_t> active {0};
};

} // namespace Godwitfork
