#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibPeer/PeerMessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class MemberState { Alive, Suspect, Dead };

struct MemberLimits {
    /// Time without evidence of a member after which it is suspect.
    Duration suspectAfter = std::chrono::seconds(2);
    /// Time without evidence of a member after which it is considered dead.
    Duration deadAfter = std::chrono::seconds(6);
};

/// Returns the hash of a member list. The incarnations must be sorted.
std::uint64_t memberListHash(const std::vector<std::string> &incarnations);

/// Member list of one instance: the address of each member, when it was last seen alive, and whether it holds this instance's
/// configuration revision. A last-seen time is on the local clock and is a lower bound: the member was alive at that time or
/// later.
class MemberTable
{
public:
    MemberTable(PeerMember self, MemberLimits limits);

    /// Records the list read from the store, on which majorities are based. Members that are dead and not in it are dropped.
    void setStoreList(const std::vector<PeerMember> &members, MonotonicTime now);
    /// Adds the members of a peer's list, except those that have been dropped.
    void mergeList(const std::vector<PeerMember> &members, MonotonicTime now);
    /// Drops a member that announced a planned stop, so that it is considered dead.
    void removeLeaving(const std::string &incarnation);

    std::vector<PeerMember> members() const;
    std::uint64_t listHash() const;
    /// Encodes the time since each member was last seen, one byte per member in list order, in units of 100 ms. 255 stands for
    /// 25.5 s or more and for a member that was never seen.
    OpaqueBytes encodedAges(MonotonicTime now) const;
    /// Encodes which members hold the local revision, one bit per member in list order.
    OpaqueBytes encodedHolders() const;

    /// Records that a member was alive at `aliveAt` or later.
    void recordAlive(const std::string &incarnation, MonotonicTime aliveAt);
    /// Merges the ages in a message that was created at `created` or later. Returns false if the list with this hash is unknown.
    bool mergeAges(std::uint64_t hash, const OpaqueBytes &ages, MonotonicTime created);
    /// Merges a peer's bitmap of the members that hold the local revision. Returns false if the list with this hash is unknown.
    bool mergeHolders(std::uint64_t hash, const OpaqueBytes &bits);
    void addHolder(const std::string &incarnation);
    /// To be called when the local revision changes.
    void clearHolders();

    MemberState stateOf(const std::string &incarnation, MonotonicTime now) const;
    /// Selects up to `count` random peers for one gossip round. Dead members are selected first in one of five rounds, and
    /// otherwise only if there are too few others, so that the two sides of a healed partition find each other.
    std::vector<std::string> choosePeers(RandomSource &random, std::size_t count, MonotonicTime now) const;
    /// Returns the latest time such that more than half of the members of the store's list were alive then or later, if there is
    /// one.
    std::optional<MonotonicTime> majorityAliveSince(MonotonicTime now) const;
    /// Incarnations of the members of the last list read from the store.
    std::vector<std::string> storeListMembers() const;
    /// Incarnations of the members that hold the local revision, this instance included.
    std::set<std::string> holderNames() const;
    /// Incarnations of the members without evidence of life for at least `limit`.
    std::vector<std::string> silentMembers(Duration limit, MonotonicTime now) const;

private:
    struct Entry {
        PeerMember member;
        std::optional<MonotonicTime> lastSeen;
        /// When the member was added to the table.
        MonotonicTime addedAt;
        /// Whether the last list read from the store contains the member, so that it counts for the majority.
        bool isInStoreList = false;
        /// Whether the member is known to hold the local configuration revision.
        bool holdsRevision = false;
    };

    /// Time from which the age of a member is measured.
    MonotonicTime lastEvidence(const Entry &entry) const;
    void add(const PeerMember &member, MonotonicTime now);
    void updateListHash();
    const std::vector<std::string> *findList(std::uint64_t hash) const;

    PeerMember self;
    MemberLimits limits;
    std::map<std::string, Entry> entries;
    /// Incarnations that are not added again from peers' lists.
    std::set<std::string> dropped;
    std::uint64_t currentHash = 0;
    /// Incarnations of the local list and of peers' lists by list hash, so that encoded ages can be decoded while lists differ.
    std::map<std::uint64_t, std::vector<std::string>> knownLists;
};

} // namespace Godwitfork
