#include "LibMembership/Acceptance.h"

namespace Godwitfork
{

Acceptance trackStored(std::uint64_t revision, MonotonicTime stored)
{
    Acceptance acceptance;
    acceptance.revision = revision;
    acceptance.stored = stored;
    return acceptance;
}

Acceptance
advance(const Acceptance &acceptance, const std::vector<std::string> &members, const std::set<std::string> &holders, Duration lease, MonotonicTime now)
{
    Acceptance next = acceptance;
    next.missing.clear();
    for (const std::string &member : members) {
        if (holders.count(member) == 0) {
            next.missing.push_back(member);
        }
    }
    const std::size_t holderCount = members.size() - next.missing.size();
    if (!next.accepted && holderCount > members.size() / 2) {
        next.accepted = now;
    }
    // An older revision can only be confirmed for times before the acceptance, so the last lease under an older revision ends one
    // lease after it.
    if (!next.inForce && next.accepted && (next.missing.empty() || now - *next.accepted > lease)) {
        next.inForce = now;
    }
    return next;
}

} // namespace Godwitfork
