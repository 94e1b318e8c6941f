#include "LibGateway/FleetView.h"

#include <algorithm>

namespace Godwitfork
{

FleetView::FleetView(Duration lifetime) : lifetime(lifetime)
{
}

void FleetView::refresh(const std::vector<FleetMember> &members, MonotonicTime now)
{
    for (const FleetMember &member : members) {
        const bool isNew = this->lastRefreshes.insert_or_assign(member.address, now).second;
        if (isNew) {
            this->list.push_back(member);
        }
    }
    std::sort(this->list.begin(), this->list.end(), [](const FleetMember &left, const FleetMember &right) { return left.address < right.address; });
}

void FleetView::expire(MonotonicTime now)
{
    std::erase_if(this->lastRefreshes, [&](const auto &entry) { return now - entry.second > this->lifetime; });
    std::erase_if(this->list, [&](const FleetMember &member) { return !this->lastRefreshes.contains(member.address); });
}

const std::vector<FleetMember> &FleetView::members() const
{
    return this->list;
}

} // namespace Godwitfork
