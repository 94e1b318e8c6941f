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

enum class GateOutcome { Admitted, Overloaded, DeadlineExceeded };

/// Admits the requests of one traffic thread to one pool: at once while the pool has free places, else by the priority
/// queue. Belongs to the thread that runs `context`.
class PoolGate
{
public:
    explicit PoolGate(boost::asio::io_context &context);

    /// Waits for a place. `Admitted` obliges the caller to call `leave` once.
    boost::asio::awaitable<GateOutcome> enter(int priority, MonotonicTime deadline);
    void leave();

    void firstByteArrived(Duration elapsed);
    void endpointExhausted();

private:
    struct Waiter {
        Waiter(boost::asio::io_context &context, MonotonicTime until) : timer(context, until)
        {
        }

        boost::asio::steady_timer timer;
        GateOutcome outcome = GateOutcome::DeadlineExceeded;
    };

    void wake(std::uint64_t id, GateOutcome outcome);
    void fillPlaces();

    boost::asio::io_context &context;
    ConcurrencyLimit limit;
    AdmissionQueue queue;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::uint64_t lastId = 0;
    Duration usualFirstByte {};
};

} // namespace Godwitfork
