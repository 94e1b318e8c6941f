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

/// Functions that send journal messages to peers. They are empty, and messages are discarded, without peer links.
struct JournalTransport {
    std::function<void(const std::string &keeper, const JournalAppend &message)> append;
    std::function<void(const std::string &keeper, const JournalDrop &message)> drop;
    std::function<void(const std::string &owner, const JournalAck &message)> acknowledge;
};

/// Executes the actions of the write-ahead journal: writes batches to the store, sends messages to peers and resumes the
/// requests whose records are durable. Runs on the control thread.
class LedgerService
{
public:
    LedgerService(boost::asio::io_context &context, ObjectStoreClient &store, RouterStatus &status, std::string incarnation, std::string failureDomain);

    void setTransport(JournalTransport transport);

    /// Opens a journal entry for a request that may reach an endpoint.
    void open(OpenRequest request);
    /// Appends the record and returns once it is durable.
    boost::asio::awaitable<void> commit(BillingRecord record);

    /// Sets the live peers that can hold replicas of the journal.
    void updatePeers(std::vector<JournalPeer> live);
    /// Takes over the records of dead owners whose journals this instance replicates, and writes them to the store.
    void settleDeadOwners(const std::function<bool(const std::string &)> &isDead);
    void receiveAppend(const JournalAppend &message);
    void receiveAck(const std::string &keeper, const JournalAck &message);
    void receiveDrop(const JournalDrop &message);

    /// Writes all records to the store. Returns whether all of them were stored within the limit.
    boost::asio::awaitable<bool> flush(Duration limit);
    /// Memory used by the own journal and by the replicas of other journals, in bytes.
    std::size_t memoryBytes() const;

private:
    /// Executes the pending actions of the journal and schedules the next call.
    void advanceJournal();
    void scheduleAdvance();
    boost::asio::awaitable<void> writeBatch(LedgerBatch batch);
    /// Determines whether the stored batch of the same name is this one.
    boost::asio::awaitable<BatchWriteResult> resolveNameConflict(const LedgerBatch &batch, const std::string &body);

    boost::asio::io_context &context;
    ObjectStoreClient &store;
    RouterStatus &status;
    Journal journal;
    JournalReplicas replicas;
    JournalTransport transport;
    RandomSource random;
    boost::asio::steady_timer timer;
    MonotonicTime timerDue = MonotonicTime::max();
    /// Pending `commit` calls by request id; erasing an entry and cancelling its timer resumes the call.
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> commitWaiters;
};

} // namespace Godwitfork
