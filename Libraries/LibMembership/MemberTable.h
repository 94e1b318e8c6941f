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
    Duration suspectAfter = std::chrono::seconds(2);
    Duration deadAfter = std::chrono::seconds(6);
};

/// Hash of the incarnations of a list that is ordered by incarnation.
std::uint64_t memberListHash(const std::vector<std::string> &incarnations);

/// One instance's view of the members: their addresses, the newest sign of life of each, and which of them hold the
/// instance's own configuration revision. Signs of life are times of the own clock, never later than the real ones.
class MemberTable
{
public:
    MemberTable(PeerMember self, MemberLimits limits);

    /// Takes the list read from the store. Members that are in neither it nor alive are dropped.
    void setStoreList(const std::vector<PeerMember> &members, MonotonicTime now);
    /// Takes a peer's list. Dropped members do not come back this way.
    void mergeList(const std::vector<PeerMember> &members, MonotonicTime now);
    /// Removes a member that announced a planned stop.
    void removeLeaving(const std::string &incarnation);

    std::vector<PeerMember> members() const;
    std::uint64_t listHash() const;
    OpaqueBytes ages(MonotonicTime now) const;
    OpaqueBytes holders() const;

    /// A message of this member was created at `created` or later.
    void addSign(const std::string &incarnation, MonotonicTime created);
    /// Ages in a message that was created at `created` or later. False if the list of that hash is unknown.
    bool mergeAges(std::uint64_t hash, const OpaqueBytes &ages, MonotonicTime created);
    /// Members that hold the own revision. False if the list of that hash is unknown.
    bool mergeHolders(std::uint64_t hash, const OpaqueBytes &bits);
    void addHolder(const std::string &incarnation);
    /// To be called when the own revision changes.
    void clearHolders();

    MemberState stateOf(const std::string &incarnation, MonotonicTime now) const;
    /// Peers for one gossip round: members that are not dead, and now and then any member, so that the two sides of a healed
    /// partition find each other.
    std::vector<std::string> choosePeers(RandomSource &random, std::size_t count, MonotonicTime now) const;
    /// Time since which signs of life of more than half of the members of the store's list exist, if ever.
    std::optional<MonotonicTime> majoritySign(MonotonicTime now) const;
    /// Members of the last list read from the store.
    std::vector<std::string> countedMembers() const;
    std::set<std::string> holderNames() const;
    /// Members without a sign of life for this long.
    std::vector<std::string> silentMembers(Duration limit, MonotonicTime now) const;

private:
    struct Entry {
        PeerMember member;
        std::optional<MonotonicTime> lastSign;
        MonotonicTime firstSeen;
        bool counted = false;
        bool holds = false;
    };

    MonotonicTime evidence(const Entry &entry) const;
    void add(const PeerMember &member, MonotonicTime now);
    void listChanged();
    const std::vector<std::string> *orderOf(std::uint64_t hash) const;

    PeerMember self;
    MemberLimits limits;
    std::map<std::string, Entry> entries;
    std::set<std::string> dropped;
    std::uint64_t currentHash = 0;
    /// Orders of the own list and of peers' lists by hash, so that ages are readable while lists differ.
    std::map<std::uint64_t, std::vector<std::string>> knownOrders;
};

} // namespace Godwitfork
