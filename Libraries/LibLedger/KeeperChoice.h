#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// A live instance other than the owner.
struct JournalPeer {
    std::string incarnation;
    std::string failureDomain;

    auto operator<=>(const JournalPeer &) const = default;
};

/// Peers in the order in which they become journal keepers of `owner`: other failure domains first, then by rendezvous
/// score (design section 5.1).
std::vector<std::string> keeperOrder(std::string_view owner, std::string_view ownerDomain, std::vector<JournalPeer> peers);

} // namespace Godwitfork
