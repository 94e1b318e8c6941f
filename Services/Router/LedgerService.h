#pragma once

#include "LibLedger/Journal.h"
#include "LibLedger/JournalReplicas.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "RouterStatus.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Sends journal messages to peers; set once links exist.
struct JournalTransport {
    std::function<void(const std::string &keeper, const JournalAppend &message)> append;
    std::function<void(const std::string &keeper, const JournalDrop &message)> drop;
    std::function<void(const std::string &owner, const JournalAck &message)> acknowledge;
};

/// Carries out what the write-ahead journal decides: store writes, peer messages, and waking the requests whose records are
/// durable. Lives on the control thread.
class LedgerService
{
public:
    LedgerService(boost::asio::io_context &context, ObjectStoreClient &store, RouterStatus &status, std::string incarnation, std::string failureDomain);

    void setTransport(JournalTransport transport);

    /// Notes that a request may reach an endpoint.
    void open(OpenRequest request);
    /// Appends the record and returns once it is durable.
    boost::asio::awaitable<void> commit(BillingRecord record);

    void updatePeers(std::vector<JournalPeer> live);
    /// Settles the journals of owners that are dead, as membership tells.
    void settleDeadOwners(const std::function<bool(const std::string &)> &isDead);
    void receiveAppend(const JournalAppend &message);
    void receiveAck(const std::string &keeper, const JournalAck &message);
    void receiveDrop(const JournalDrop &message);

    /// Writes everything that is not stored and returns when it is, or false after the limit.
    boost::asio::awaitable<bool> flush(Duration limit);
    std::size_t memoryBytes() const;

private:
    void drive();
    void schedule();
    boost::asio::awaitable<void> write(LedgerBatch batch);
    boost::asio::awaitable<BatchWriteResult> resolveNameTaken(const LedgerBatch &batch, const std::string &body);

    boost::asio::io_context &context;
    ObjectStoreClient &store;
    RouterStatus &status;
    Journal journal;
    JournalReplicas replicas;
    JournalTransport transport;
    RandomSource random;
    boost::asio::steady_timer timer;
    MonotonicTime timerDue = MonotonicTime::max();
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> waiting;
};

} // namespace Godwitfork
