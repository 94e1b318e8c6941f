#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibLedger/BatchQueue.h"
#include "LibLedger/JournalEntry.h"
#include "LibLedger/ReplicaPlacement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

/// Timing and size limits of the write-ahead journal.
struct JournalSettings {
    /// Longest time that a record waits before it is put into a batch for the store.
    Duration flushInterval = std::chrono::seconds(5);
    /// Size of the unbatched records that triggers a flush, and limit for the records of one batch object.
    std::size_t batchLimitBytes = 512UL * 1024UL;
    /// Time, beyond the estimated transfer time, after which a replica holder that has not acknowledged an append is replaced.
    Duration ackTimeout = std::chrono::milliseconds(50);
    /// Time for which entries are gathered into one append (group commit).
    Duration groupCommitInterval = std::chrono::milliseconds(1);
    /// Limit for the journal and the replicas held for other owners together.
    std::size_t memoryLimitBytes = 96UL * 1024UL * 1024UL;
    /// Limit of one append message, below the message size limit of peer links.
    std::size_t messageLimitBytes = 512UL * 1024UL;
    /// Flow control window: bytes sent to one replica holder and not acknowledged. Below the queue limit of a peer link.
    std::size_t windowBytes = 2UL * 1024UL * 1024UL;
    /// Time for which a replica holder that timed out is not selected again.
    Duration slowPeerBackOff = std::chrono::seconds(1);
};

enum class JournalAdmission { Accepted, MemoryLimit, NoReplica };

struct AddressedAppend {
    std::string holder;
    JournalAppend message;
};

struct AddressedDrop {
    std::string holder;
    JournalDrop message;
};

/// Messages, writes and notifications that the caller of Journal::advance has to carry out.
struct JournalActions {
    std::vector<AddressedAppend> appends;
    std::vector<AddressedDrop> drops;
    std::vector<LedgerBatch> writes;
    /// Identities of the requests whose records have become durable; their responses may now be completed.
    std::vector<std::string> durable;
    /// Subset of `durable` that only one replica holder stores, to be logged as `journal.reduced_replication`.
    std::vector<std::string> reducedReplication;
};

/// Write-ahead journal of one instance, its owner. It decides which entries are replicated to which peers, when a record is
/// durable, and which records are written to the store. It performs no input or output: call `advance` after every input, and
/// at the time that `nextDue` returns if there was none.
class Journal
{
public:
    Journal(std::string incarnation, std::string failureDomain, JournalSettings settings);

    /// Checks whether a new request can be journalled. `replicaBytes` is the memory used by replicas held for other owners.
    JournalAdmission admission(std::size_t replicaBytes) const;
    /// Adds an open request. A request whose identity the journal already contains is ignored.
    void open(OpenRequest request, MonotonicTime now);
    /// Adds a record, which replaces the open request with the same identity. A second record with the same identity is
    /// ignored.
    void append(BillingRecord record, MonotonicTime now);
    /// Adds records that were recovered from the replica of a dead owner. They are written to the store with this instance's
    /// batches and are not replicated again.
    void adopt(const std::vector<BillingRecord> &records);
    /// Sets the live peers; a replica holder that is not among them is replaced.
    void updatePeers(std::vector<JournalPeer> live, MonotonicTime now);
    void receiveAck(const std::string &holder, const JournalAck &ack);
    void finishWrite(const std::string &batch, BatchWriteResult result, MonotonicTime now, RandomSource &random);
    /// Makes `advance` flush the unbatched records without waiting for the flush interval, for a planned stop.
    void requestFlush();

    /// Returns the actions that are due and records them as started.
    JournalActions advance(MonotonicTime now);
    /// Time at which `advance` has to be called next if no input comes before.
    MonotonicTime nextDue() const;
    /// True when every record is stored and no request is open.
    bool isDrained() const;
    /// Size of the entries and adopted records that are not stored, in bytes.
    std::size_t memoryBytes() const;
    /// Incarnations of the peers that entries are currently replicated to.
    std::vector<std::string> replicaHolders() const;

private:
    /// Append message that the replica holder has not acknowledged.
    struct SentAppend {
        std::uint64_t sequence = 0;
        std::size_t bytes = 0;
        MonotonicTime deadline;
    };

    /// Replication progress of one peer.
    struct ReplicaHolder {
        std::string incarnation;
        std::uint64_t term = 0;
        std::uint64_t sentThrough = 0;
        std::uint64_t ackedThrough = 0;
        std::deque<SentAppend> unacknowledged;
        std::size_t unacknowledgedBytes = 0;
    };

    /// Peer that has been replaced, but whose replica may still be needed.
    struct RetiredHolder {
        std::uint64_t term = 0;
        /// Sequence up to which all active holders must have acknowledged before this holder may drop its replica.
        std::uint64_t neededThrough = 0;
    };

    std::uint64_t lastSequence() const;
    std::uint64_t firstUnstoredRecord() const;
    void add(JournalEntry entry, MonotonicTime now);
    void remove(std::uint64_t sequence);
    void retire(const ReplicaHolder &holder);
    void replaceHolders(MonotonicTime now);
    void collectAppends(MonotonicTime now, JournalActions &actions);
    JournalAppend nextAppend(ReplicaHolder &holder, MonotonicTime now) const;
    void collectDurable(JournalActions &actions);
    void collectWrites(MonotonicTime now, JournalActions &actions);
    void collectDrops(JournalActions &actions);
    bool canReleaseRetired(const RetiredHolder &retired) const;
    bool isFlushDue(MonotonicTime now) const;

    std::string incarnation;
    std::string failureDomain;
    JournalSettings settings;
    BatchQueue batches;

    std::uint64_t nextSequence = 1;
    std::uint64_t nextTerm = 1;
    /// Entries by sequence, without records that are stored.
    std::map<std::uint64_t, JournalEntry> entries;
    std::map<std::string, std::uint64_t> openSequences;
    std::map<std::string, std::uint64_t> recordSequences;
    /// Sequences of the records that are not durable yet.
    std::set<std::uint64_t> nonDurable;
    /// Identities of the requests whose records became durable by a store write, until `advance` reports them.
    std::vector<std::string> durableByStore;
    /// Sequences of the records that are not part of a batch yet.
    std::vector<std::uint64_t> unbatched;
    std::size_t unbatchedBytes = 0;
    std::size_t entryBytes = 0;

    std::vector<JournalPeer> peers;
    std::vector<ReplicaHolder> activeHolders;
    std::map<std::string, RetiredHolder> retiredHolders;
    /// End of the back-off of each peer that timed out.
    std::map<std::string, MonotonicTime> slowUntil;
    MonotonicTime appendDue = MonotonicTime::max();
    MonotonicTime flushDue = MonotonicTime::max();
    bool flushRequested = false;
    bool dropsDue = false;
};

} // namespace Godwitfork
