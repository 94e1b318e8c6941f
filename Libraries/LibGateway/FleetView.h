#pragma once

#include "LibGateway/PeerReport.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Members of the fleet as one instance sees them. Instances tell each other how long ago each member was heard, so that the views converge
/// and a member that has ended is removed everywhere.
class FleetView
{
public:
    /// Creates an empty view; `lifetime` is the membership timeout after which a member that is not heard is removed.
    explicit FleetView(Duration lifetime);

    /// Records that a member itself was heard.
    void record(const FleetMember &member, MonotonicTime now);
    /// Records the sightings of another instance; those older than the membership timeout are ignored.
    void merge(const std::vector<MemberSighting> &sightings, MonotonicTime now);
    /// Records that another instance, which has the same members, heard each of them within the given time.
    void confirmAll(Duration oldestSighting, MonotonicTime now);
    /// Removes the members whose membership timeout has passed.
    void expire(MonotonicTime now);
    /// Returns the members ordered by address.
    const std::vector<FleetMember> &members() const;
    /// Returns the members with the time since they were heard.
    std::vector<MemberSighting> sightings(MonotonicTime now) const;
    /// Returns the longest time since a member was heard.
    Duration oldestSighting(MonotonicTime now) const;

private:
    Duration lifetime;
    std::map<std::string, MonotonicTime> lastHeard;
    std::vector<FleetMember> list;
};

} // namespace Godwitfork
