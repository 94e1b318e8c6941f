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
        // The first message of a term holds everything that is not stored, so the earlier replica is superseded.
        this->bytes -= bytesOf(replica);
        replica = Replica {};
        replica.term = message.term;
    }
    if (message.previousSequence <= replica.through && message.sequence > replica.through) {
        this->bytes -= bytesOf(replica);
        for (const JournalEntry &entry : message.entries) {
            take(replica, entry);
        }
        replica.through = message.sequence;
        this->bytes += bytesOf(replica);
    }
    return JournalAck {message.owner, replica.term, replica.through, ReplicaRelease::Keep};
}

void JournalReplicas::take(Replica &replica, const JournalEntry &entry)
{
    if (!entry.record) {
        replica.open.emplace(entry.open.requestId, entry);
        return;
    }
    replica.open.erase(entry.open.requestId);
    if (entry.sequence > replica.droppedThrough) {
        replica.records.emplace(entry.sequence, entry);
    }
}

std::optional<JournalAck> JournalReplicas::receive(const JournalDrop &message)
{
    const auto found = this->replicas.find(message.owner);
    if (message.release == ReplicaRelease::Release) {
        if (found != this->replicas.end() && found->second.term <= message.term) {
            this->erase(found);
        }
        return JournalAck {message.owner, message.term, 0, ReplicaRelease::Release};
    }
    if (found == this->replicas.end()) {
        return std::nullopt;
    }
    Replica &replica = found->second;
    const auto end = replica.records.upper_bound(message.throughSequence);
    for (auto entry = replica.records.begin(); entry != end; ++entry) {
        this->bytes -= entry->second.bytes;
    }
    replica.records.erase(replica.records.begin(), end);
    replica.droppedThrough = std::max(replica.droppedThrough, message.throughSequence);
    return std::nullopt;
}

std::vector<BillingRecord> JournalReplicas::settle(const std::string &owner)
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
    this->erase(found);
    return settled;
}

void JournalReplicas::erase(std::map<std::string, Replica>::iterator found)
{
    this->bytes -= bytesOf(found->second);
    this->replicas.erase(found);
}

std::size_t JournalReplicas::bytesOf(const Replica &replica)
{
    std::size_t sum = 0;
    for (const auto &[sequence, entry] : replica.records) {
        sum += entry.bytes;
    }
    for (const auto &[requestId, entry] : replica.open) {
        sum += entry.bytes;
    }
    return sum;
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
    return this->bytes;
}

} // namespace Godwitfork
