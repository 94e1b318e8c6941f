#include "LibGateway/FleetView.h"

#include <algorithm>

namespace Godwitfork
{

FleetView::FleetView(Duration lifetime) : lifetime(lifetime)
{
}

void FleetView::record(const FleetMember &member, MonotonicTime now)
{
    MonotonicTime &heard = this->lastHeard[member.address];
    const bool isNewer = now >= heard;
    heard = std::max(heard, now);
    const auto position = std::lower_bound(
        this->list.begin(), this->list.end(), member.address, [](const FleetMember &known, const std::string &address) { return known.address < address; });
    if (position == this->list.end() || position->address != member.address) {
        this->list.insert(position, member);
    } else if (isNewer) {
        // The instance may have restarted with another capacity or name.
        *position = member;
    }
}

void FleetView::merge(const std::vector<MemberSighting> &sightings, MonotonicTime now)
{
    for (const MemberSighting &sighting : sightings) {
        if (sighting.age <= this->lifetime) {
            this->record(sighting.member, now - sighting.age);
        }
    }
}

void FleetView::confirmAll(Duration oldestSighting, MonotonicTime now)
{
    for (auto &[address, heard] : this->lastHeard) {
        heard = std::max(heard, now - oldestSighting);
    }
}

void FleetView::expire(MonotonicTime now)
{
    std::erase_if(this->lastHeard, [&](const auto &entry) { return now - entry.second > this->lifetime; });
    std::erase_if(this->list, [&](const FleetMember &member) { return !this->lastHeard.contains(member.address); });
}

const std::vector<FleetMember> &FleetView::members() const
{
    return this->list;
}

std::vector<MemberSighting> FleetView::sightings(MonotonicTime now) const
{
    std::vector<MemberSighting> sightings;
    for (const FleetMember &member : this->list) {
        sightings.push_back({member, now - this->lastHeard.at(member.address)});
    }
    return sightings;
}

Duration FleetView::oldestSighting(MonotonicTime now) const
{
    Duration oldest = Duration::zero();
    for (const auto &[address, heard] : this->lastHeard) {
        oldest = std::max(oldest, now - heard);
    }
    return oldest;
}

} // namespace Godwitfork
