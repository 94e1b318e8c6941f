#include "LibGateway/FleetView.h"

#include <algorithm>
#include <set>

namespace Godwitfork
{

namespace
{
/// Time after which a member counts as overdue. In a large fleet news of a member arrives after up to three report intervals.
constexpr Duration maxTimeUnheard = std::chrono::seconds(2);
} // namespace

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

void FleetView::confirmExcept(const std::vector<MemberSighting> &listed, Duration oldestUnlisted, MonotonicTime now)
{
    std::set<std::string> exceptions;
    for (const MemberSighting &sighting : listed) {
        exceptions.insert(sighting.member.address);
    }
    for (auto &[address, heard] : this->lastHeard) {
        if (!exceptions.contains(address)) {
            heard = std::max(heard, now - oldestUnlisted);
        }
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

std::optional<MonotonicTime> FleetView::lastHeardAt(const std::string &address) const
{
    const auto heard = this->lastHeard.find(address);
    return heard == this->lastHeard.end() ? std::nullopt : std::optional(heard->second);
}

std::vector<MemberSighting> FleetView::sightings(MonotonicTime now) const
{
    std::vector<MemberSighting> sightings;
    for (const FleetMember &member : this->list) {
        sightings.push_back({member, now - this->lastHeard.at(member.address)});
    }
    return sightings;
}

std::vector<MemberSighting> FleetView::overdue(MonotonicTime now) const
{
    std::vector<MemberSighting> overdue = this->sightings(now);
    std::erase_if(overdue, [](const MemberSighting &sighting) { return sighting.age <= maxTimeUnheard; });
    return overdue;
}

Duration FleetView::oldestInTime(MonotonicTime now) const
{
    Duration oldest = Duration::zero();
    for (const auto &[address, heard] : this->lastHeard) {
        if (now - heard <= maxTimeUnheard) {
            oldest = std::max(oldest, now - heard);
        }
    }
    return oldest;
}

} // namespace Godwitfork
