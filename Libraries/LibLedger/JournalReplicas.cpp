#include "LibLedger/JournalReplicas.h"

#include <algorithm>
#include <utility>

namespace Godwitfork
{

std::optional<JournalAck> JournalReplicas::receive(const JournalAppend &message)
{
    const auto [found, created] = this->replicas.try_emplace(message.owner);
    Replica &replica = found->second;
    if (message.term < replica.term) {
        return std::nullopt;
    }
    if (message.term > replica.term && message.previousSequence != 0) {
        // The first message of the term was lost. An acknowledgement of sequence 0 confirms no entry, so the owner's
        // acknowledgement timeout keeps running.
        if (created) {
            this->replicas.erase(found);
        }
        return JournalAck {message.owner, message.term, 0, ReplicaRelease::Keep};
    }
    if (message.term > replica.term) {
        beginTerm(replica, message.term);
    }
    if (message.previousSequence <= replica.receivedThrough && message.sequence > replica.receivedThrough) {
        for (const JournalEntry &entry : message.entries) {
            apply(replica, entry);
        }
        replica.receivedThrough = message.sequence;
        if (message.complete) {
            dropSuperseded(replica);
        }
    }
    return JournalAck {message.owner, replica.term, replica.receivedThrough, ReplicaRelease::Keep};
}

// Entries of the earlier term stay until all entries of the new one have arrived, because the owner may die in between.
// Records among them that have been stored since are removed by the next drop.
void JournalReplicas::beginTerm(Replica &replica, std::uint64_t term)
{
    replica.term = term;
    replica.receivedThrough = 0;
    replica.supersededRequests.clear();
    for (const auto &[requestId, entry] : replica.openRequests) {
        replica.supersededRequests.insert(requestId);
    }
}

void JournalReplicas::apply(Replica &replica, const JournalEntry &entry)
{
    replica.supersededRequests.erase(entry.open.requestId);
    if (!entry.record) {
        const bool added = replica.openRequests.emplace(entry.open.requestId, entry).second;
        replica.bytes += added ? entry.bytes : 0;
        return;
    }
    eraseOpen(replica, entry.open.requestId);
    if (entry.sequence > replica.droppedThrough) {
        const bool added = replica.records.emplace(entry.sequence, entry).second;
        replica.bytes += added ? entry.bytes : 0;
    }
}

void JournalReplicas::dropSuperseded(Replica &replica)
{
    for (const std::string &requestId : replica.supersededRequests) {
        eraseOpen(replica, requestId);
    }
    replica.supersededRequests.clear();
}

void JournalReplicas::eraseOpen(Replica &replica, const std::string &requestId)
{
    const auto found = replica.openRequests.find(requestId);
    if (found != replica.openRequests.end()) {
        replica.bytes -= found->second.bytes;
        replica.openRequests.erase(found);
    }
}

std::optional<JournalAck> JournalReplicas::receive(const JournalDrop &message)
{
    const auto found = this->replicas.find(message.owner);
    if (message.release == ReplicaRelease::Release) {
        if (found != this->replicas.end() && found->second.term <= message.term) {
            this->replicas.erase(found);
        }
        return JournalAck {message.owner, message.term, 0, ReplicaRelease::Release};
    }
    if (found == this->replicas.end()) {
        return std::nullopt;
    }
    Replica &replica = found->second;
    const auto end = replica.records.upper_bound(message.throughSequence);
    for (auto entry = replica.records.begin(); entry != end; ++entry) {
        replica.bytes -= entry->second.bytes;
    }
    replica.records.erase(replica.records.begin(), end);
    replica.droppedThrough = std::max(replica.droppedThrough, message.throughSequence);
    return std::nullopt;
}

std::vector<BillingRecord> JournalReplicas::recover(const std::string &owner)
{
    std::vector<BillingRecord> recovered;
    const auto found = this->replicas.find(owner);
    if (found == this->replicas.end()) {
        return recovered;
    }
    for (const auto &[sequence, entry] : found->second.records) {
        recovered.push_back(*entry.record);
    }
    for (const auto &[requestId, entry] : found->second.openRequests) {
        const ErrorOr<BillingRecord> record = interruptedRecord(entry.open);
        // A request whose identity the builder rejects as malformed cannot be billed.
        if (record) {
            recovered.push_back(record.assume_value());
        }
    }
    this->replicas.erase(found);
    return recovered;
}

std::vector<std::string> JournalReplicas::owners() const
{
    std::vector<std::string> names;
    for (const auto &[owner, replica] : this->replicas) {
        names.push_back(owner);
    }
    return names;
}

std::size_t JournalReplicas::memoryBytes() const
{
    std::size_t sum = 0;
    for (const auto &[owner, replica] : this->replicas) {
        sum += replica.bytes;
    }
    return sum;
}

} // namespace Godwitfork
