#pragma once

#include "LibGateway/FleetView.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Whether an instance can read the platform's store itself.
enum class StoreAccess { Working, Failing };

/// Chooses the hubs of a fleet. Each failure domain has two: the primary collects the reports of its domain, exchanges their sums with the
/// primaries of the other domains and relays the store's changes; the second one takes over when the primary does not answer. Traffic
/// between failure domains therefore grows with the number of domains, and the load of a hub with the size of its domain. Instances with the
/// same members choose the same hubs.
class HubDirectory
{
public:
    /// Creates the directory of the instance with the given peer address. `membershipTimeout` is the time after which a member that is not
    /// refreshed is removed.
    HubDirectory(std::string ownAddress, std::string ownFailureDomain, Duration membershipTimeout);

    /// Members of all failure domains.
    FleetView &fleet();
    const FleetView &fleet() const;
    /// Removes the members whose membership timeout has passed, and ended exclusions.
    void expire(MonotonicTime now);
    /// Number of members in this instance's failure domain.
    std::size_t ownDomainSize() const;

    /// Does not choose a member as hub until the given time, since it did not answer.
    void exclude(const std::string &address, MonotonicTime until);
    void include(const std::string &address);
    bool isExcluded(const std::string &address, MonotonicTime now) const;

    /// Returns the usable hubs of this instance's failure domain, the primary first.
    std::vector<std::string> ownHubs(MonotonicTime now) const;
    /// Returns the primary of each other failure domain that has a usable one.
    std::vector<std::string> remotePrimaries(MonotonicTime now) const;
    /// Whether this instance is the primary hub of its failure domain.
    bool isPrimary(MonotonicTime now) const;
    /// Returns the hub whose relay this instance follows: one of its own failure domain if there is a usable one, else one of another.
    /// Empty if this instance is a primary that reads the store itself, or no hub is usable.
    std::optional<std::string> relayHub(StoreAccess access, MonotonicTime now) const;

private:
    std::vector<std::string> hubs(const std::string &failureDomain, MonotonicTime now) const;

    std::string ownAddress;
    std::string ownFailureDomain;
    FleetView view;
    std::map<std::string, MonotonicTime> excludedUntil;
};

} // namespace Godwitfork
