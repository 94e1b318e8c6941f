#pragma once

#include "LibGateway/PeerReport.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Members of the fleet as one instance sees them. Messages carry the time since each member last reported, so that the views converge and a
/// member that has stopped is removed everywhere.
class FleetView
{
public:
    /// Creates an empty view; `lifetime` is the membership timeout after which a member that is not heard is removed.
    explicit FleetView(Duration lifetime);

    /// Records that a member itself was heard.
    void record(const FleetMember &member, MonotonicTime now);
    /// Records the sightings of another instance; those older than the membership timeout are ignored.
    void merge(const std::vector<MemberSighting> &sightings, MonotonicTime now);
    /// Records that another instance with the same members heard each of them within `oldestUnlisted`, except those that it lists.
    void confirmExcept(const std::vector<MemberSighting> &listed, Duration oldestUnlisted, MonotonicTime now);
    /// Removes the members whose membership timeout has passed.
    void expire(MonotonicTime now);
    /// Returns the members ordered by address.
    const std::vector<FleetMember> &members() const;
    /// Returns the time at which a member was last heard; empty if it is unknown.
    std::optional<MonotonicTime> lastHeardAt(const std::string &address) const;
    /// Returns the members with the time since they were heard.
    std::vector<MemberSighting> sightings(MonotonicTime now) const;
    /// Returns the members that have not been heard lately. They are told one by one: a common bound on all times would make every member look
    /// as old as one that has stopped.
    std::vector<MemberSighting> overdue(MonotonicTime now) const;
    /// Returns the longest time since a member that is not overdue was heard.
    Duration oldestInTime(MonotonicTime now) const;

private:
    Duration lifetime;
    std::map<std::string, MonotonicTime> lastHeard;
    std::vector<FleetMember> list;
};

} // namespace Godwitfork
