#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Other instances that this instance is in contact with or that its settings name, by address.
struct FleetContacts {
    std::string own;
    /// Instances heard within the membership timeout; may contain this one.
    std::vector<std::string> live;
    /// Instances that the settings name; may contain this one.
    std::vector<std::string> seeds;
};

/// Known members, retained for 5 minutes after their last report. An instance that counts a silent member as
/// present has a higher rank than it needs, never a lower one, so that both sides of a partition together take each share at most once.
class FleetMemory
{
public:
    void update(const FleetContacts &contacts, MonotonicTime now);

    /// Position of this instance among the remembered ones for an endpoint, starting at 0. Empty while this instance may not know the fleet:
    /// before it has been in contact with half of the instances that its settings name, and for a settling time afterwards; again once it has
    /// not been in contact with half of them for so long that they are forgotten.
    std::optional<int> rankFor(std::string_view endpoint) const;
    /// Number of remembered instances, this one included.
    int size() const;
    /// Changes whenever a rank may have changed.
    std::uint64_t version() const;

private:
    bool hasReachedSeeds(const FleetContacts &contacts) const;

    std::string own;
    std::map<std::string, MonotonicTime> lastLive;
    /// Time since which enough of the fleet is known; empty if it is not.
    std::optional<MonotonicTime> reachedAt;
    bool isSettled = false;
    std::uint64_t changes = 0;
};

} // namespace Godwitfork
