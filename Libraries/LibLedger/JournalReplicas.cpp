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
        // The first message of the term was lost. An acknowledgement of nothing keeps the owner's timeout running.
        if (created) {
            this->replicas.erase(found);
        }
        return JournalAck {message.owner, message.term, 0, ReplicaRelease::Keep};
    }
    if (message.term > replica.term) {
        beginTerm(replica, message.term);
    }
    if (message.previousSequence <= replica.through && message.sequence > replica.through) {
        for (const JournalEntry &entry : message.entries) {
            take(replica, entry);
        }
        replica.through = message.sequence;
        if (message.complete) {
            dropSuperseded(replica);
        }
    }
    return JournalAck {message.owner, replica.term, replica.through, ReplicaRelease::Keep};
}

// Entries of the earlier term stay until the new one is complete, because the owner may die in between. Records among them
// that are stored by then go with the next drop.
void JournalReplicas::beginTerm(Replica &replica, std::uint64_t term)
{
    replica.term = term;
    replica.through = 0;
    replica.supersededOpen.clear();
    for (const auto &[requestId, entry] : replica.open) {
        replica.supersededOpen.insert(requestId);
    }
}

void JournalReplicas::take(Replica &replica, const JournalEntry &entry)
{
    replica.supersededOpen.erase(entry.open.requestId);
    if (!entry.record) {
        const bool added = replica.open.emplace(entry.open.requestId, entry).second;
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
    for (const std::string &requestId : replica.supersededOpen) {
        eraseOpen(replica, requestId);
    }
    replica.supersededOpen.clear();
}

void JournalReplicas::eraseOpen(Replica &replica, const std::string &requestId)
{
    const auto found = replica.open.find(requestId);
    if (found != replica.open.end()) {
        replica.bytes -= found->second.bytes;
        replica.open.erase(found);
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
    std::vector<BillingRecord> settled;
    const auto found = this->replicas.find(owner);
    if (found == this->replicas.end()) {
        return settled;
    }
    for (const auto &[sequence, entry] : found->second.records) {
        settled.push_back(*entry.record);
    }
    for (const auto &[requestId, entry] : found->second.open) {
        const ErrorOr<BillingRecord> record = interruptedRecord(entry.open);
        // An identity that the builder refuses cannot be billed either.
        if (record) {
            settled.push_back(record.assume_value());
        }
    }
    this->replicas.erase(found);
    return settled;
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
