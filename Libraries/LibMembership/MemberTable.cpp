#include "LibMembership/MemberTable.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr Duration ageUnit = std::chrono::milliseconds(100);
// Also stands for a member that was never heard, so it is no evidence of life.
constexpr std::uint8_t oldestAge = 255;
constexpr std::size_t maxKnownOrders = 16;
constexpr std::size_t maxDropped = 4096;
constexpr int anyPeerShare = 5;
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
    this->listChanged();
}

void MemberTable::add(const PeerMember &member, MonotonicTime now)
{
    Entry entry;
    entry.member = member;
    entry.firstSeen = now;
    this->entries.try_emplace(member.incarnation, std::move(entry));
}

void MemberTable::listChanged()
{
    std::vector<std::string> order;
    for (const auto &[incarnation, entry] : this->entries) {
        order.push_back(incarnation);
    }
    this->currentHash = memberListHash(order);
    if (this->knownOrders.size() >= maxKnownOrders) {
        this->knownOrders.clear();
    }
    this->knownOrders[this->currentHash] = std::move(order);
}

void MemberTable::setStoreList(const std::vector<PeerMember> &members, MonotonicTime now)
{
    for (auto &[incarnation, entry] : this->entries) {
        entry.counted = false;
    }
    for (const PeerMember &member : members) {
        this->dropped.erase(member.incarnation);
        this->add(member, now);
        this->entries[member.incarnation].counted = true;
    }
    std::erase_if(this->entries, [&](const auto &entry) {
        const bool isGone = !entry.second.counted && this->stateOf(entry.first, now) == MemberState::Dead;
        if (isGone) {
            this->dropped.insert(entry.first);
        }
        return isGone;
    });
    if (this->dropped.size() > maxDropped) {
        this->dropped.clear();
    }
    this->listChanged();
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
    this->listChanged();
    const std::uint64_t hash = memberListHash(order);
    this->knownOrders[hash] = std::move(order);
}

void MemberTable::removeLeaving(const std::string &incarnation)
{
    if (incarnation == this->self.incarnation) {
        return;
    }
    // A counted member stays in the list until the store drops it, so that the majority is not computed from fewer.
    const auto found = this->entries.find(incarnation);
    if (found != this->entries.end() && !found->second.counted) {
        this->entries.erase(found);
        this->listChanged();
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

OpaqueBytes MemberTable::ages(MonotonicTime now) const
{
    OpaqueBytes bytes;
    for (const auto &[incarnation, entry] : this->entries) {
        std::int64_t units = oldestAge;
        if (incarnation == this->self.incarnation) {
            units = 0;
        } else if (entry.lastSign) {
            // Rounded up, so that a sign of life never looks newer than it is.
            units = (now - *entry.lastSign + ageUnit - Duration(1)) / ageUnit;
        }
        bytes.push_back(static_cast<std::uint8_t>(std::clamp<std::int64_t>(units, 0, oldestAge)));
    }
    return bytes;
}

OpaqueBytes MemberTable::holders() const
{
    OpaqueBytes bits((this->entries.size() + bitsInByte - 1) / bitsInByte);
    std::size_t index = 0;
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.holds || incarnation == this->self.incarnation) {
            bits[index / bitsInByte] |= static_cast<std::uint8_t>(1U << (index % bitsInByte));
        }
        ++index;
    }
    return bits;
}

void MemberTable::addSign(const std::string &incarnation, MonotonicTime created)
{
    const auto found = this->entries.find(incarnation);
    if (found != this->entries.end() && (!found->second.lastSign || *found->second.lastSign < created)) {
        found->second.lastSign = created;
    }
}

const std::vector<std::string> *MemberTable::orderOf(std::uint64_t hash) const
{
    const auto found = this->knownOrders.find(hash);
    return found == this->knownOrders.end() ? nullptr : &found->second;
}

bool MemberTable::mergeAges(std::uint64_t hash, const OpaqueBytes &ages, MonotonicTime created)
{
    const std::vector<std::string> *order = this->orderOf(hash);
    if (order == nullptr || order->size() != ages.size()) {
        return false;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        if (ages[i] != oldestAge) {
            this->addSign((*order)[i], created - ages[i] * ageUnit);
        }
    }
    return true;
}

bool MemberTable::mergeHolders(std::uint64_t hash, const OpaqueBytes &bits)
{
    const std::vector<std::string> *order = this->orderOf(hash);
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
        found->second.holds = true;
    }
}

void MemberTable::clearHolders()
{
    for (auto &[incarnation, entry] : this->entries) {
        entry.holds = false;
    }
}

MonotonicTime MemberTable::evidence(const Entry &entry) const
{
    // A member that was just learnt gets the whole time until suspicion to show itself.
    return entry.lastSign ? std::max(*entry.lastSign, entry.firstSeen) : entry.firstSeen;
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
    const Duration age = now - this->evidence(found->second);
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
    const bool tryDead = !dead.empty() && random() % anyPeerShare == 0;
    live.insert(tryDead ? live.begin() : live.end(), dead.begin(), dead.end());
    live.resize(std::min(live.size(), count));
    return live;
}

std::optional<MonotonicTime> MemberTable::majoritySign(MonotonicTime now) const
{
    std::size_t counted = 0;
    std::vector<MonotonicTime> signs;
    for (const auto &[incarnation, entry] : this->entries) {
        if (!entry.counted) {
            continue;
        }
        ++counted;
        if (incarnation == this->self.incarnation) {
            signs.push_back(now);
        } else if (entry.lastSign) {
            signs.push_back(*entry.lastSign);
        }
    }
    // A single known member is no majority: while it is cut off, others may join through the store without its knowledge.
    constexpr std::size_t minCounted = 2;
    const std::size_t needed = counted / 2 + 1;
    if (counted < minCounted || signs.size() < needed) {
        return std::nullopt;
    }
    std::sort(signs.rbegin(), signs.rend());
    return signs[needed - 1];
}

std::vector<std::string> MemberTable::countedMembers() const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.counted) {
            names.push_back(incarnation);
        }
    }
    return names;
}

std::set<std::string> MemberTable::holderNames() const
{
    std::set<std::string> names {this->self.incarnation};
    for (const auto &[incarnation, entry] : this->entries) {
        if (entry.holds) {
            names.insert(incarnation);
        }
    }
    return names;
}

std::vector<std::string> MemberTable::silentMembers(Duration limit, MonotonicTime now) const
{
    std::vector<std::string> names;
    for (const auto &[incarnation, entry] : this->entries) {
        if (incarnation != this->self.incarnation && now - this->evidence(entry) >= limit) {
            names.push_back(incarnation);
        }
    }
    return names;
}

} // namespace Godwitfork
