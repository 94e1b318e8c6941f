#include "PoolAdmissionController.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Reciprocal of the smoothing factor of the moving average, in samples.
constexpr int firstByteAverageWindow = 16;
} // namespace

PoolAdmissionController::PoolAdmissionController(Asio::io_context &context) : context(context)
{
}

Asio::awaitable<AdmissionOutcome> PoolAdmissionController::acquireSlot(int priority, MonotonicTime deadline)
{
    if (this->queue.entries.empty() && hasFreeSlot(this->limit)) {
        ++this->limit.running;
        co_return AdmissionOutcome::Admitted;
    }
    const std::uint64_t id = ++this->lastWaiterId;
    const QueueEntry entry {id, priority, deadline, this->averageFirstByte, monotonicNow()};
    const EnqueueResult result = tryEnqueue(this->queue, entry);
    for (const QueueEntry &displaced : result.displaced) {
        this->resumeWaiter(displaced.id, AdmissionOutcome::Overloaded);
    }
    if (!result.isAccepted) {
        co_return AdmissionOutcome::Overloaded;
    }
    const auto waiter = std::make_shared<Waiter>(this->context, deadline);
    this->waiters[id] = waiter;
    this->admitWaiting();
    if (this->waiters.count(id) > 0) {
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    if (this->waiters.erase(id) > 0) {
        removeEntry(this->queue, id);
    }
    co_return waiter->outcome;
}

void PoolAdmissionController::releaseSlot()
{
    --this->limit.running;
    // Coroutines that are destroyed with the context still release their slots, but no waiter can be resumed any more.
    if (this->context.stopped()) {
        return;
    }
    if (!this->queue.entries.empty()) {
        recordFreedSlot(this->queue, monotonicNow());
    } else {
        // The time until the next request is queued must not count as an interval between two free slots.
        this->queue.lastFreedSlot.reset();
    }
    this->admitWaiting();
}

void PoolAdmissionController::resumeWaiter(std::uint64_t id, AdmissionOutcome outcome)
{
    const auto waiter = this->waiters.find(id);
    if (waiter == this->waiters.end()) {
        return;
    }
    waiter->second->outcome = outcome;
    waiter->second->timer.cancel();
    this->waiters.erase(waiter);
}

void PoolAdmissionController::admitWaiting()
{
    while (hasFreeSlot(this->limit)) {
        std::vector<QueueEntry> expired;
        const auto next = takeNext(this->queue, monotonicNow(), expired);
        for (const QueueEntry &entry : expired) {
            this->resumeWaiter(entry.id, AdmissionOutcome::DeadlineExceeded);
        }
        if (!next) {
            return;
        }
        ++this->limit.running;
        this->resumeWaiter(next->id, AdmissionOutcome::Admitted);
    }
}

void PoolAdmissionController::recordFirstByte(Duration elapsed)
{
    this->averageFirstByte += (elapsed - this->averageFirstByte) / firstByteAverageWindow;
    recordFirstByteTime(this->limit, elapsed, monotonicNow());
    this->admitWaiting();
}

void PoolAdmissionController::recordEndpointExhaustion()
{
    recordExhaustion(this->limit, monotonicNow());
}

} // namespace Godwitfork
