#pragma once

#include "LibAdmission/AdmissionQueue.h"
#include "LibAdmission/ConcurrencyLimit.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace Godwitfork
{

enum class AdmissionOutcome { Admitted, Overloaded, DeadlineExceeded };

/// Admits the requests of one traffic thread to one pool: immediately while the pool has free slots, otherwise through a
/// priority queue. Must only be used by the thread that runs `context`.
class PoolAdmissionController
{
public:
    explicit PoolAdmissionController(boost::asio::io_context &context);

    /// Waits for a free slot. After `Admitted`, the caller must call `releaseSlot` exactly once.
    boost::asio::awaitable<AdmissionOutcome> acquireSlot(int priority, MonotonicTime deadline);
    void releaseSlot();

    void recordFirstByte(Duration elapsed);
    void recordEndpointExhaustion();

private:
    struct Waiter {
        Waiter(boost::asio::io_context &context, MonotonicTime until) : timer(context, until)
        {
        }

        boost::asio::steady_timer timer;
        AdmissionOutcome outcome = AdmissionOutcome::DeadlineExceeded;
    };

    void resumeWaiter(std::uint64_t id, AdmissionOutcome outcome);
    void admitWaiting();

    boost::asio::io_context &context;
    ConcurrencyLimit limit;
    AdmissionQueue queue;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::uint64_t lastWaiterId = 0;
    /// Exponential moving average of the time to first byte, used as the expected service time of queued requests.
    Duration averageFirstByte {};
};

} // namespace Godwitfork
