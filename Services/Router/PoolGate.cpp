#include "PoolGate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int firstByteWeight = 16;
} // namespace

PoolGate::PoolGate(Asio::io_context &context) : context(context)
{
}

Asio::awaitable<GateOutcome> PoolGate::enter(int priority, MonotonicTime deadline)
{
    if (this->queue.entries.empty() && hasFreeSlot(this->limit)) {
        ++this->limit.running;
        co_return GateOutcome::Admitted;
    }
    const std::uint64_t id = ++this->lastId;
    const QueueEntry entry {id, priority, deadline, this->usualFirstByte, monotonicNow()};
    const EnqueueResult result = tryEnqueue(this->queue, entry);
    for (const QueueEntry &displaced : result.displaced) {
        this->wake(displaced.id, GateOutcome::Overloaded);
    }
    if (!result.isAccepted) {
        co_return GateOutcome::Overloaded;
    }
    const auto waiter = std::make_shared<Waiter>(this->context, deadline);
    this->waiters[id] = waiter;
    this->fillPlaces();
    if (this->waiters.count(id) > 0) {
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    if (this->waiters.erase(id) > 0) {
        removeEntry(this->queue, id);
    }
    co_return waiter->outcome;
}

void PoolGate::leave()
{
    --this->limit.running;
    // Coroutines that end with the context give their places back when nobody can be woken any more.
    if (this->context.stopped()) {
        return;
    }
    if (!this->queue.entries.empty()) {
        recordFreedSlot(this->queue, monotonicNow());
    } else {
        // The time until the next queue forms is no pace of the pool.
        this->queue.lastFreedSlot.reset();
    }
    this->fillPlaces();
}

void PoolGate::wake(std::uint64_t id, GateOutcome outcome)
{
    const auto waiter = this->waiters.find(id);
    if (waiter == this->waiters.end()) {
        return;
    }
    waiter->second->outcome = outcome;
    waiter->second->timer.cancel();
    this->waiters.erase(waiter);
}

void PoolGate::fillPlaces()
{
    while (hasFreeSlot(this->limit)) {
        std::vector<QueueEntry> expired;
        const auto next = takeNext(this->queue, monotonicNow(), expired);
        for (const QueueEntry &entry : expired) {
            this->wake(entry.id, GateOutcome::DeadlineExceeded);
        }
        if (!next) {
            return;
        }
        ++this->limit.running;
        this->wake(next->id, GateOutcome::Admitted);
    }
}

void PoolGate::firstByteArrived(Duration elapsed)
{
    this->usualFirstByte += (elapsed - this->usualFirstByte) / firstByteWeight;
    recordFirstByteTime(this->limit, elapsed, monotonicNow());
    this->fillPlaces();
}

void PoolGate::endpointExhausted()
{
    recordExhaustion(this->limit, monotonicNow());
}

} // namespace Godwitfork
