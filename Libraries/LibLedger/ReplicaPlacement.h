#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Live instance that can hold journal replicas.
struct JournalPeer {
    std::string incarnation;
    std::string failureDomain;

    auto operator<=>(const JournalPeer &) const = default;
};

/// Returns the peers in the order in which `owner` selects them as replica holders: peers in other failure domains first,
/// and within each group by descending rendezvous hashing score. The owner itself is left out.
std::vector<std::string> replicaHolderOrder(std::string_view owner, std::string_view ownerDomain, std::vector<JournalPeer> peers);

} // namespace Godwitfork
