#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibLedger/BatchQueue.h"
#include "LibLedger/JournalEntry.h"
#include "LibLedger/KeeperChoice.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

/// Values of design section 5.1.
struct JournalSettings {
    Duration flushInterval = std::chrono::seconds(5);
    std::size_t batchLimitBytes = 512UL * 1024UL;
    Duration ackTimeout = std::chrono::milliseconds(50);
    Duration groupInterval = std::chrono::milliseconds(1);
    /// For the journal and the replicas held for other owners together.
    std::size_t memoryLimitBytes = 96UL * 1024UL * 1024UL;
    /// Limit of one message, below the size that peer links accept.
    std::size_t messageLimitBytes = 512UL * 1024UL;
    /// Bytes that one keeper may have unacknowledged, below the queue of a peer link.
    std::size_t windowBytes = 2UL * 1024UL * 1024UL;
    /// How long a keeper that timed out is passed over.
    Duration slowPeerPause = std::chrono::seconds(1);
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

/// What the caller of Journal::advance has to carry out.
struct JournalActions {
    std::vector<AddressedAppend> appends;
    std::vector<AddressedDrop> drops;
    std::vector<LedgerBatch> writes;
    /// Identities whose callers may now see the end of their response.
    std::vector<std::string> durable;
    /// The subset of `durable` that only one keeper holds, to be logged as `journal.reduced_replication`.
    std::vector<std::string> reducedReplication;
};

/// Write-ahead journal of one owner: decides which entry goes to which keeper, when a record is durable, and what is
/// written to the store. Every input is followed by `advance`; `nextDue` tells when to call it without an input.
class Journal
{
public:
    Journal(std::string incarnation, std::string failureDomain, JournalSettings settings);

    JournalAdmission admission(std::size_t replicaBytes) const;
    void open(OpenRequest request, MonotonicTime now);
    /// Replaces the open entry of the same identity. A second record of the same identity is ignored.
    void append(BillingRecord record, MonotonicTime now);
    /// Takes over records of a dead owner; they are written to the store with this instance's batches.
    void adopt(const std::vector<BillingRecord> &records);
    void updatePeers(std::vector<JournalPeer> live, MonotonicTime now);
    void receiveAck(const std::string &holder, const JournalAck &ack);
    void finishWrite(const std::string &batch, BatchWriteResult result, MonotonicTime now, RandomSource &random);
    /// Makes the next `advance` write everything that is not stored, for a planned stop.
    void requestFlush();

    JournalActions advance(MonotonicTime now);
    MonotonicTime nextDue() const;
    /// True when every record is stored and no request is open.
    bool isDrained() const;
    std::size_t memoryBytes() const;
    std::vector<std::string> keepers() const;

private:
    struct Sent {
        std::uint64_t sequence = 0;
        std::size_t bytes = 0;
        MonotonicTime deadline;
    };

    struct Keeper {
        std::string incarnation;
        std::uint64_t term = 0;
        std::uint64_t sentThrough = 0;
        std::uint64_t ackedThrough = 0;
        std::deque<Sent> unacknowledged;
        std::size_t unacknowledgedBytes = 0;
    };

    struct RetiredKeeper {
        std::uint64_t term = 0;
        /// The keeper stays in use until its successors hold everything up to here.
        std::uint64_t neededThrough = 0;
    };

    std::uint64_t lastSequence() const;
    std::uint64_t firstUnstoredRecord() const;
    void add(JournalEntry entry, MonotonicTime now);
    void remove(std::uint64_t sequence);
    void retire(const Keeper &holder);
    void replaceKeepers(MonotonicTime now);
    void collectAppends(MonotonicTime now, JournalActions &actions);
    JournalAppend nextAppend(Keeper &holder, MonotonicTime now) const;
    void collectDurable(JournalActions &actions);
    void collectWrites(MonotonicTime now, JournalActions &actions);
    void collectDrops(JournalActions &actions);
    bool canReleaseRetired(const RetiredKeeper &retired) const;
    bool isFlushDue(MonotonicTime now) const;

    std::string incarnation;
    std::string failureDomain;
    JournalSettings settings;
    BatchQueue batches;

    std::uint64_t nextSequence = 1;
    std::uint64_t nextTerm = 1;
    /// Entries that are not stored, by sequence.
    std::map<std::uint64_t, JournalEntry> entries;
    std::map<std::string, std::uint64_t> openSequences;
    std::map<std::string, std::uint64_t> recordSequences;
    std::set<std::uint64_t> undurable;
    std::vector<std::string> durableByStore;
    /// Records that are not part of a batch yet.
    std::vector<std::uint64_t> unbatched;
    std::size_t unbatchedBytes = 0;
    std::size_t entryBytes = 0;

    std::vector<JournalPeer> peers;
    std::vector<Keeper> activeKeepers;
    std::map<std::string, RetiredKeeper> retiredKeepers;
    std::map<std::string, MonotonicTime> slowUntil;
    MonotonicTime groupDue = MonotonicTime::max();
    MonotonicTime flushDue = MonotonicTime::max();
    bool flushRequested = false;
    bool dropsDue = false;
};

} // namespace Godwitfork
