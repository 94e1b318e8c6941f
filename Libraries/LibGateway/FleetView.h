#pragma once

#include "LibCore/Random.h"
#include "LibGateway/PeerReport.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// The instances that an instance has heard of lately. Views of different instances grow together, since every mention counts.
class FleetView
{
public:
    /// A member is forgotten this long after it was mentioned last.
    explicit FleetView(Duration lifetime);

    void refresh(const std::vector<FleetMember> &members, MonotonicTime now);
    void expire(MonotonicTime now);
    /// In the order of their addresses.
    const std::vector<FleetMember> &members() const;

private:
    Duration lifetime;
    std::map<std::string, MonotonicTime> lastMentions;
    std::vector<FleetMember> list;
};

} // namespace Godwitfork
