#pragma once

#include <compare>
#include <map>
#include <set>
#include <span>
#include <string>

namespace Godwitfork
{

/// What an instance knows of the failure domains.
struct FailureDomains {
    /// Failure domains whose endpoints must get no further requests. One that is unknown otherwise has no effect.
    std::set<std::string> evacuated;
    /// Region of each failure domain.
    std::map<std::string, std::string> regions;

    auto operator<=>(const FailureDomains &) const = default;
};

/// Home regions of a request. Both lists bind; an empty one restricts nothing.
struct HomeRegions {
    std::span<const std::string> ofRoute;
    std::span<const std::string> ofAccount;
};

/// Why an endpoint may not be used for a request.
enum class PlacementObstacle {
    None,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its region is not a home region of the route and of the account.
    OtherRegion,
    /// The request has home regions, and the region of its failure domain is not known.
    UnknownRegion,
};

const char *placementObstacleName(PlacementObstacle obstacle);

/// Returns why an endpoint in the failure domain may not be used for a request with these home regions. A domain that is both evacuated and
/// outside the home regions is reported as outside, since it stays forbidden when the evacuation ends.
PlacementObstacle findPlacementObstacle(const std::string &failureDomain, const FailureDomains &domains, const HomeRegions &home);

/// Numbers of a service's endpoints by placement.
struct PlacementCounts {
    int allowed = 0;
    int evacuated = 0;
    int otherRegion = 0;
    int unknownRegion = 0;

    void add(PlacementObstacle obstacle);
    /// Returns why the request can be sent to none of the endpoints: the obstacle that may pass first. `None` if one is allowed or there are none.
    PlacementObstacle refusalCause() const;

    auto operator<=>(const PlacementCounts &) const = default;
};

} // namespace Godwitfork
