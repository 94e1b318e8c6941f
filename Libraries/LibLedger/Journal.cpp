#include "LibLedger/Journal.h"

#include "LibLedger/RecordCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Godwitfork
{

namespace
{
// With two replicas, a record survives the simultaneous failure of the owner and one replica holder.
constexpr std::size_t replicaCount = 2;
// A replacement holder may receive the full journal at once, which takes longer to transfer than the acknowledgement timeout.
// The assumed rate of 20 MB/s is a fifth of a 1 Gbit/s link.
constexpr std::size_t transferBytesPerMicrosecond = 20;

Duration transferAllowance(std::size_t bytes)
{
    return Duration(static_cast<Duration::rep>(bytes / transferBytesPerMicrosecond));
}
} // namespace

Journal::Journal(std::string incarnation, std::string failureDomain, JournalSettings settings)
    : incarnation(std::move(incarnation)), failureDomain(std::move(failureDomain)), settings(settings), batches(this->incarnation, settings.batchLimitBytes)
{
}

JournalAdmission Journal::admission(std::size_t replicaBytes) const
{
    if (this->entryBytes + replicaBytes > this->settings.memoryLimitBytes) {
        return JournalAdmission::MemoryLimit;
    }
    if (this->peers.empty() && !this->batches.isStoreReachable()) {
        return JournalAdmission::NoReplica;
    }
    return JournalAdmission::Accepted;
}

void Journal::open(OpenRequest request, MonotonicTime now)
{
    if (this->openSequences.contains(request.requestId) || this->recordSequences.contains(request.requestId)) {
        return;
    }
    this->openSequences[request.requestId] = this->nextSequence;
    this->add(openEntry(this->nextSequence, std::move(request)), now);
}

void Journal::append(BillingRecord record, MonotonicTime now)
{
    if (this->recordSequences.contains(record.requestId())) {
        return;
    }
    const auto opened = this->openSequences.find(record.requestId());
    if (opened != this->openSequences.end()) {
        this->remove(opened->second);
        this->openSequences.erase(opened);
    }
    const std::uint64_t sequence = this->nextSequence;
    this->recordSequences[record.requestId()] = sequence;
    this->nonDurable.insert(sequence);
    this->unbatched.push_back(sequence);
    JournalEntry entry = recordEntry(sequence, std::move(record));
    this->unbatchedBytes += entry.bytes;
    this->flushDue = std::min(this->flushDue, now + this->settings.flushInterval);
    this->add(std::move(entry), now);
}

void Journal::adopt(const std::vector<BillingRecord> &records)
{
    std::vector<SharedRecord> shared;
    for (const BillingRecord &record : records) {
        shared.push_back(std::make_shared<const BillingRecord>(record));
        this->entryBytes += encodedSize(*shared.back());
    }
    this->batches.add(shared);
}

void Journal::add(JournalEntry entry, MonotonicTime now)
{
    this->entryBytes += entry.bytes;
    this->entries.emplace(entry.sequence, std::move(entry));
    this->nextSequence += 1;
    this->appendDue = std::min(this->appendDue, now + this->settings.groupCommitInterval);
}

void Journal::remove(std::uint64_t sequence)
{
    const auto found = this->entries.find(sequence);
    this->entryBytes -= found->second.bytes;
    this->entries.erase(found);
}

std::uint64_t Journal::lastSequence() const
{
    return this->nextSequence - 1;
}

void Journal::updatePeers(std::vector<JournalPeer> live, MonotonicTime now)
{
    this->peers = std::move(live);
    const auto isLive = [this](const std::string &name) {
        return std::ranges::any_of(this->peers, [&name](const JournalPeer &peer) { return peer.incarnation == name; });
    };
    // The replica of a dead holder gives no durability, so the holder is removed without being retired.
    std::erase_if(this->activeHolders, [&isLive](const ReplicaHolder &holder) { return !isLive(holder.incarnation); });
    std::erase_if(this->retiredHolders, [&isLive](const auto &entry) { return !isLive(entry.first); });
    std::erase_if(this->slowUntil, [&isLive](const auto &entry) { return !isLive(entry.first); });
    this->replaceHolders(now);
}

void Journal::retire(const ReplicaHolder &holder)
{
    this->retiredHolders[holder.incarnation] = {holder.term, this->lastSequence()};
}

void Journal::replaceHolders(MonotonicTime now)
{
    std::erase_if(this->slowUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const ReplicaHolder &holder : this->activeHolders) {
        if (!holder.unacknowledged.empty() && holder.unacknowledged.front().deadline <= now) {
            this->slowUntil[holder.incarnation] = now + this->settings.slowPeerBackOff;
            this->retire(holder);
        }
    }
    std::erase_if(this->activeHolders, [this](const ReplicaHolder &holder) { return this->retiredHolders.contains(holder.incarnation); });
    for (const std::string &name : replicaHolderOrder(this->incarnation, this->failureDomain, this->peers)) {
        if (this->activeHolders.size() >= replicaCount) {
            return;
        }
        const bool active = std::ranges::any_of(this->activeHolders, [&name](const ReplicaHolder &holder) { return holder.incarnation == name; });
        if (active || this->slowUntil.contains(name)) {
            continue;
        }
        ReplicaHolder holder;
        holder.incarnation = name;
        holder.term = this->nextTerm++;
        this->activeHolders.push_back(std::move(holder));
        this->retiredHolders.erase(name);
        this->appendDue = std::min(this->appendDue, now);
    }
}

void Journal::receiveAck(const std::string &holder, const JournalAck &ack)
{
    if (ack.owner != this->incarnation) {
        return;
    }
    const auto retired = this->retiredHolders.find(holder);
    if (ack.release == ReplicaRelease::Release) {
        if (retired != this->retiredHolders.end() && retired->second.term <= ack.term) {
            this->retiredHolders.erase(retired);
        }
        return;
    }
    const auto active = std::ranges::find(this->activeHolders, holder, &ReplicaHolder::incarnation);
    if (active == this->activeHolders.end() || active->term != ack.term) {
        return;
    }
    active->ackedThrough = std::max(active->ackedThrough, std::min(ack.sequence, active->sentThrough));
    while (!active->unacknowledged.empty() && active->unacknowledged.front().sequence <= active->ackedThrough) {
        active->unacknowledgedBytes -= active->unacknowledged.front().bytes;
        active->unacknowledged.pop_front();
    }
    if (active->sentThrough < this->lastSequence() && this->appendDue == MonotonicTime::max()) {
        // The flow control window held entries back, and no append is scheduled that would send them.
        this->appendDue = MonotonicTime::min();
    }
}

void Journal::finishWrite(const std::string &batch, BatchWriteResult result, MonotonicTime now, RandomSource &random)
{
    for (const SharedRecord &record : this->batches.finish(batch, result, now, random)) {
        const auto found = this->recordSequences.find(record->requestId());
        const bool own = found != this->recordSequences.end() && this->entries.at(found->second).record == record;
        if (!own) {
            this->entryBytes -= encodedSize(*record);
            continue;
        }
        if (this->nonDurable.erase(found->second) > 0) {
            this->durableByStore.push_back(record->requestId());
        }
        this->remove(found->second);
        this->recordSequences.erase(found);
        this->dropsDue = true;
    }
}

void Journal::requestFlush()
{
    this->flushRequested = true;
}

JournalActions Journal::advance(MonotonicTime now)
{
    JournalActions actions;
    this->replaceHolders(now);
    this->collectAppends(now, actions);
    this->collectDurable(actions);
    this->collectWrites(now, actions);
    this->collectDrops(actions);
    return actions;
}

void Journal::collectAppends(MonotonicTime now, JournalActions &actions)
{
    if (now < this->appendDue) {
        return;
    }
    this->appendDue = MonotonicTime::max();
    for (ReplicaHolder &holder : this->activeHolders) {
        while (holder.sentThrough < this->lastSequence() && holder.unacknowledgedBytes < this->settings.windowBytes) {
            actions.appends.push_back({holder.incarnation, this->nextAppend(holder, now)});
        }
    }
}

JournalAppend Journal::nextAppend(ReplicaHolder &holder, MonotonicTime now) const
{
    JournalAppend message;
    message.owner = this->incarnation;
    message.term = holder.term;
    message.previousSequence = holder.sentThrough;
    message.sequence = this->lastSequence();
    std::size_t bytes = 0;
    for (auto entry = this->entries.upper_bound(holder.sentThrough); entry != this->entries.end(); ++entry) {
        if (!message.entries.empty() && bytes + entry->second.bytes > this->settings.messageLimitBytes) {
            message.sequence = message.entries.back().sequence;
            message.complete = false;
            break;
        }
        bytes += entry->second.bytes;
        message.entries.push_back(entry->second);
    }
    holder.sentThrough = message.sequence;
    holder.unacknowledgedBytes += bytes;
    holder.unacknowledged.push_back({message.sequence, bytes, now + this->settings.ackTimeout + transferAllowance(holder.unacknowledgedBytes)});
    return message;
}

void Journal::collectDurable(JournalActions &actions)
{
    actions.durable = std::exchange(this->durableByStore, {});
    const bool reduced = this->peers.size() < replicaCount && !this->batches.isStoreReachable();
    const std::size_t needed = reduced ? 1 : replicaCount;
    if (this->activeHolders.size() < needed) {
        return;
    }
    const auto slowest = std::ranges::min_element(this->activeHolders, {}, &ReplicaHolder::ackedThrough);
    while (!this->nonDurable.empty() && *this->nonDurable.begin() <= slowest->ackedThrough) {
        const std::string &requestId = this->entries.at(*this->nonDurable.begin()).open.requestId;
        actions.durable.push_back(requestId);
        if (this->activeHolders.size() < replicaCount) {
            actions.reducedReplication.push_back(requestId);
        }
        this->nonDurable.erase(this->nonDurable.begin());
    }
}

bool Journal::isFlushDue(MonotonicTime now) const
{
    if (this->unbatched.empty()) {
        return false;
    }
    // With fewer than two replicas a record becomes durable by its store write, so it is flushed without delay. Only one such
    // flush runs at a time, so that the records that arrive meanwhile share the next one.
    const bool waitsForStore = this->activeHolders.size() < replicaCount && this->batches.isEmpty();
    return this->flushRequested || waitsForStore || now >= this->flushDue || this->unbatchedBytes >= this->settings.batchLimitBytes;
}

void Journal::collectWrites(MonotonicTime now, JournalActions &actions)
{
    // During a store outage, records stay unbatched until a probe succeeds, so that the flush after the outage writes full
    // batches.
    const bool storeReady = this->batches.isStoreReachable() || this->batches.isEmpty();
    if (storeReady && this->isFlushDue(now)) {
        std::vector<SharedRecord> records;
        for (const std::uint64_t sequence : this->unbatched) {
            records.push_back(this->entries.at(sequence).record);
        }
        this->unbatched.clear();
        this->unbatchedBytes = 0;
        this->flushRequested = false;
        this->flushDue = MonotonicTime::max();
        this->batches.add(records);
    }
    actions.writes = this->batches.takeDue(now);
}

std::uint64_t Journal::firstUnstoredRecord() const
{
    const auto found = std::ranges::find_if(this->entries, [](const auto &entry) { return entry.second.record != nullptr; });
    return found == this->entries.end() ? this->nextSequence : found->first;
}

bool Journal::canReleaseRetired(const RetiredHolder &retired) const
{
    return this->activeHolders.size() >= replicaCount
        && std::ranges::all_of(this->activeHolders, [&retired](const ReplicaHolder &holder) { return holder.ackedThrough >= retired.neededThrough; });
}

void Journal::collectDrops(JournalActions &actions)
{
    if (!std::exchange(this->dropsDue, false)) {
        return;
    }
    const std::uint64_t throughSequence = this->firstUnstoredRecord() - 1;
    for (const ReplicaHolder &holder : this->activeHolders) {
        actions.drops.push_back({holder.incarnation, {this->incarnation, holder.term, throughSequence, ReplicaRelease::Keep}});
    }
    // A release is sent after every flush until the retired holder confirms it, since the message may be lost.
    for (const auto &[name, retired] : this->retiredHolders) {
        const ReplicaRelease release = this->canReleaseRetired(retired) ? ReplicaRelease::Release : ReplicaRelease::Keep;
        actions.drops.push_back({name, {this->incarnation, retired.term, throughSequence, release}});
    }
}

MonotonicTime Journal::nextDue() const
{
    MonotonicTime due = std::min(this->appendDue, this->batches.nextDue());
    for (const ReplicaHolder &holder : this->activeHolders) {
        if (!holder.unacknowledged.empty()) {
            due = std::min(due, holder.unacknowledged.front().deadline);
        }
    }
    if (this->activeHolders.size() < replicaCount) {
        for (const auto &[name, until] : this->slowUntil) {
            due = std::min(due, until);
        }
    }
    const bool storeReady = this->batches.isStoreReachable() || this->batches.isEmpty();
    return storeReady ? std::min(due, this->flushDue) : due;
}

bool Journal::isDrained() const
{
    return this->entries.empty() && this->batches.isEmpty();
}

std::size_t Journal::memoryBytes() const
{
    return this->entryBytes;
}

std::vector<std::string> Journal::replicaHolders() const
{
    std::vector<std::string> names;
    for (const ReplicaHolder &holder : this->activeHolders) {
        names.push_back(holder.incarnation);
    }
    return names;
}

} // namespace Godwitfork
