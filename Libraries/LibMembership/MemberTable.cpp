#include "LibMembership/MemberTable.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr Duration ageUnit = std::chrono::milliseconds(100);
// Also encodes a member that was never seen, so a receiver must not take it as evidence of life.
constexpr std::uint8_t oldestAge = 255;
constexpr std::size_t maxKnownLists = 16;
constexpr std::size_t maxDropped = 4096;
// Dead members are selected first in one of this many gossip rounds, on average.
constexpr int roundsPerDeadPeer = 5;
constexpr std::size_t bitsInByte = 8;
} // namespace

std::uint64_t memberListHash(const std::vector<std::string> &incarnations)
{
    std::string text;
    for (const std::string &incarnation : incarnations) {
        text += incarnation;
        text += '\n';
    }
    return hash64(text);
}

MemberTable::MemberTable(PeerMember self, MemberLimits limits) : self(std::move(self)), limits(limits)
{
    this->add(this->self, {});
    this->updateListHash();
}

void MemberTable::add(const PeerMember &member, MonotonicTime now)
{
    Entry entry;
    entry.member = member;
    entry.addedAt = now;
    this->entries.try_emplace(member.incarnation, std::move(entry));
}

void MemberTable::updateListHash()
{
    std::vector<std::string> order;
    for (const auto &[incarnation, entry] : this->entries) {
        order.push_back(incarnation);
    }
    this->currentHash = memberListHash(order);
    if (this->knownLists.size() >= maxKnownLists) {
        this->knownLists.clear();
    }
    this->knownLists[this->currentHash] = std::move(order);
}

void MemberTable::setStoreList(const std::vector<PeerMember> &members, MonotonicTime now)
{
    for (auto &[incarnation, entry] : this->entries) {
        entry.isInStoreList = false;
    }
    for (const PeerMember &member : members) {
        this->dropped.erase(member.incarnation);
        this->add(member, now);
        this->entries[member.incarnation].isInStoreList = true;
    }
    std::erase_if(this->entries, [&](const auto &entry) {
        const bool isGone = !entry.second.isInStoreList && this->stateOf(entry.first, now) == MemberState::Dead;
        if (isGone) {
            this->dropped.insert(entry.first);
        }
        return isGone;
    });
    if (this->dropped.size() > maxDropped) {
        this->dropped.clear();
    }
    this->updateListHash();
}

void MemberTable::mergeList(const std::vector<PeerMember> &members, MonotonicTime now)
{
    std::vector<std::string> order;
    for (const PeerMember &member : members) {
        order.push_back(member.incarnation);
        if (this->dropped.count(member.incarnation) == 0) {
            this->add(member, now);
        }
    }
    std::sort(order.begin(), order.end());
    this->updateListHash();
    const std::uint64_t hash = memberListHash(order);
    this->knownLists[hash] = std::move(order);
}

void MemberTable::removeLeaving(const std::string &incarnation)
{
    if (incarnation == this->self.incarnation) {
        return;
    }
    // A member of the store's list stays until the store removes it, so that the majority is not computed from a smaller list.
    const auto found = this->entries.find(incarnation);
    if (found != this->entries.end() && !found->second.isInStoreList) {
        this->entries.erase(found);
        this->updateListHash();
    }
    this->dropped.insert(incarnation);
}

std::vector<PeerMember> MemberTable::members() const
{
    std::vector<PeerMember> list;
    for (const auto &[incarnation, entry] : this->entries) {
        list.push_back(entry.member);
    }
    return list;
}

std::uint64_t MemberTable::listHash() const
{
    return this->currentHash;
}

OpaqueBytes MemberTable::encodedAges(MonotonicTime now) const
{
    OpaqueBytes bytes;
    for (const auto &[incarnation, entry] : this->entries) {
        std::int64_t units = oldestAge;
        if (incarnation == this->self.incarnation) {
            units = 0;
        } else if (entry.lastSeen) {
            // Rounded up, so that receivers never take the member as seen later than it was.
            units = (now - *entry.lastSeen + ageUnit - Duration(1)) / ageUnit;
        }
        bytes.push_back(static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, oldestAge)));
    }
    return bytes;
}

OpaqueBytes MemberTable::encodedHolders() const
{
    OpaqueBytes bits((this->entries.size() + bitsInByte - 1) / bitsInByte);
    std::size_t index = 0;
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.holdsRevision || incarnation == this->self.incarnation) {
            bits[index / bitsInByte] |= static_cast<std::uint8_t>(1U << (index % bitsInByte));
        }
        ++index;
    }
    return bits;
}

void MemberTable::recordAlive(const std::string &incarnation, MonotonicTime aliveAt)
{
    const auto found = this->entries.find(incarnation);
    if (found != this->entries.end() && (!found->second.lastSeen || *found->second.lastSeen < aliveAt)) {
        found->second.lastSeen = aliveAt;
    }
}

const std::vector<std::string> *MemberTable::findList(std::uint64_t hash) const
{
    const auto found = this->knownLists.find(hash);
    return found == this->knownLists.end() ? nullptr : &found->second;
}

bool MemberTable::mergeAges(std::uint64_t hash, const OpaqueBytes &ages, MonotonicTime created)
{
    const std::vector<std::string> *order = this->findList(hash);
    if (order == nullptr || order->size() != ages.size()) {
        return false;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        if (ages[i] != oldestAge) {
            this->recordAlive((*order)[i], created - ages[i] * ageUnit);
        }
    }
    return true;
}

bool MemberTable::mergeHolders(std::uint64_t hash, const OpaqueBytes &bits)
{
    const std::vector<std::string> *order = this->findList(hash);
    if (order == nullptr || bits.size() != (order->size() + bitsInByte - 1) / bitsInByte) {
        return false;
    }
    for (std::size_t i = 0; i < order->size(); ++i) {
        if ((bits[i / bitsInByte] >> (i % bitsInByte) & 1U) != 0) {
            this->addHolder((*order)[i]);
        }
    }
    return true;
}

void MemberTable::addHolder(const std::string &incarnation)
{
    const auto found = this->entries.find(incarnation);
    if (found != this->entries.end()) {
        found->second.holdsRevision = true;
    }
}

void MemberTable::clearHolders()
{
    for (auto &[incarnation, entry] : this->entries) {
        entry.holdsRevision = false;
    }
}

MonotonicTime MemberTable::lastEvidence(const Entry &entry) const
{
    // A member that was just added is not suspect until it has had the full time to send a message.
    return entry.lastSeen ? std::max(*entry.lastSeen, entry.addedAt) : entry.addedAt;
}

MemberState MemberTable::stateOf(const std::string &incarnation, MonotonicTime now) const
{
    if (incarnation == this->self.incarnation) {
        return MemberState::Alive;
    }
    const auto found = this->entries.find(incarnation);
    if (found == this->entries.end() || this->dropped.count(incarnation) > 0) {
        return MemberState::Dead;
    }
    const Duration age = now - this->lastEvidence(found->second);
    if (age >= this->limits.deadAfter) {
        return MemberState::Dead;
    }
    return age >= this->limits.suspectAfter ? MemberState::Suspect : MemberState::Alive;
}

std::vector<std::string> MemberTable::choosePeers(RandomSource &random, std::size_t count, MonotonicTime now) const
{
    std::vector<std::string> live;
    std::vector<std::string> dead;
    for (const auto &[incarnation, entry] : this->entries) {
        if (incarnation != this->self.incarnation) {
            (this->stateOf(incarnation, now) == MemberState::Dead ? dead : live).push_back(incarnation);
        }
    }
    std::shuffle(live.begin(), live.end(), random);
    std::shuffle(dead.begin(), dead.end(), random);
    const bool tryDead = !dead.empty() && random() % roundsPerDeadPeer == 0;
    live.insert(tryDead ? live.begin() : live.end(), dead.begin(), dead.end());
    live.resize(std::min(live.size(), count));
    return live;
}

std::optional<MonotonicTime> MemberTable::majorityAliveSince(MonotonicTime now) const
{
    std::size_t listedCount = 0;
    std::vector<MonotonicTime> lastSeenTimes;
    for (const auto &[incarnation, entry] : this->entries) {
        if (!entry.isInStoreList) {
            continue;
        }
        ++listedCount;
        if (incarnation == this->self.incarnation) {
            lastSeenTimes.push_back(now);
        } else if (entry.lastSeen) {
            lastSeenTimes.push_back(*entry.lastSeen);
        }
    }
    // A single known member is no majority: while it is partitioned from the store, other instances may join there without its
    // knowledge.
    constexpr std::size_t minListed = 2;
    const std::size_t needed = listedCount / 2 + 1;
    if (listedCount < minListed || lastSeenTimes.size() < needed) {
        return std::nullopt;
    }
    std::sort(lastSeenTimes.rbegin(), lastSeenTimes.rend());
    return lastSeenTimes[needed - 1];
}

std::vector<std::string> MemberTable::storeListMembers() const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.isInStoreList) {
            names.push_back(incarnation);
        }
    }
    return names;
}

std::set<std::string> MemberTable::holderNames() const
{
    std::set<std::string> names {this->self.incarnation};
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.holdsRevision) {
            names.insert(incarnation);
        }
    }
    return names;
}

std::vector<std::string> MemberTable::silentMembers(Duration limit, MonotonicTime now) const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, entry] : this->entries) {
        if (incarnation != this->self.incarnation && now - this->lastEvidence(entry) >= limit) {
            names.push_back(incarnation);
        }
    }
    return names;
}

} // namespace Godwitfork
