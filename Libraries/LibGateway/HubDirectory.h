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
    /// Removes the members whose membership timeout has passed, and exclusions that have ended.
    void expire(MonotonicTime now);
    /// Number of members in this instance's failure domain.
    std::size_t ownDomainSize() const;

    /// Excludes a member that did not answer from the choice of hubs for the given time, and then until it is heard again. A hub that has
    /// stopped is therefore not chosen a second time while it is still a member.
    void exclude(const std::string &address, Duration minimum, MonotonicTime now);
    void include(const std::string &address);
    /// Returns the excluded members that have not been heard and are due to be contacted again.
    std::vector<std::string> dueProbes(MonotonicTime now) const;
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
    struct Exclusion {
        MonotonicTime since;
        /// End of the exclusion if the member was heard after its begin; else the time of the next probe.
        MonotonicTime until;
    };

    bool wasHeardSince(const std::string &address, MonotonicTime since) const;

    std::map<std::string, Exclusion> exclusions;
};

} // namespace Godwitfork
