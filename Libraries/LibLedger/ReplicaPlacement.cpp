#include "LibLedger/ReplicaPlacement.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <tuple>

namespace Godwitfork
{

std::vector<std::string> replicaHolderOrder(std::string_view owner, std::string_view ownerDomain, std::vector<JournalPeer> peers)
{
    std::ranges::sort(peers, [owner, ownerDomain](const JournalPeer &left, const JournalPeer &right) {
        const auto rank = [owner, ownerDomain](const JournalPeer &peer) {
            return std::tuple(peer.failureDomain != ownerDomain, rendezvousScore(owner, peer.incarnation), peer.incarnation);
        };
        return rank(left) > rank(right);
    });
    std::vector<std::string> order;
    for (const JournalPeer &peer : peers) {
        if (peer.incarnation != owner) {
            order.push_back(peer.incarnation);
        }
    }
    return order;
}

} // namespace Godwitfork
