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
advance(const Acceptance &acceptance, const std::vector<std::string> &counted, const std::set<std::string> &holders, Duration lease, MonotonicTime now)
{
    Acceptance next = acceptance;
    next.missing.clear();
    for (const std::string &member : counted) {
        if (holders.count(member) == 0) {
            next.missing.push_back(member);
        }
    }
    const std::size_t holding = counted.size() - next.missing.size();
    if (!next.accepted && holding > counted.size() / 2) {
        next.accepted = now;
    }
    // A confirmation of an older revision is older than the acceptance, so the last lease on one ends a lease after it.
    if (!next.inForce && next.accepted && (next.missing.empty() || now - *next.accepted > lease)) {
        next.inForce = now;
    }
    return next;
}

} // namespace Godwitfork
