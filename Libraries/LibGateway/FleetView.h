#pragma once

#include "LibCore/Random.h"
#include "LibGateway/PeerReport.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Members of the fleet as one instance sees them. A member is refreshed by every message that lists it, whoever sent the message, so
/// that the views of different instances converge.
class FleetView
{
public:
    /// Creates an empty view; `lifetime` is the membership timeout after which a member that is not refreshed is removed.
    explicit FleetView(Duration lifetime);

    /// Adds new members and restarts the membership timeout of known ones.
    void refresh(const std::vector<FleetMember> &members, MonotonicTime now);
    /// Removes the members whose membership timeout has passed.
    void expire(MonotonicTime now);
    /// Returns the members ordered by address.
    const std::vector<FleetMember> &members() const;

private:
    Duration lifetime;
    std::map<std::string, MonotonicTime> lastRefreshes;
    std::vector<FleetMember> list;
};

} // namespace Godwitfork
