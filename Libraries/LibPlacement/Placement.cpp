#include "LibPlacement/Placement.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
bool isWithin(std::span<const std::string> regions, const std::string &region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}
} // namespace

const char *placementObstacleName(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::None:
        return "none";
    case PlacementObstacle::Evacuated:
        return "failure_domain_evacuated";
    case PlacementObstacle::OtherRegion:
        return "outside_home_regions";
    case PlacementObstacle::UnknownRegion:
        return "region_unknown";
    }
    return "none";
}

PlacementObstacle findPlacementObstacle(const std::string &failureDomain, const FailureDomains &domains, const HomeRegions &home)
{
    if (!home.ofRoute.empty() || !home.ofAccount.empty()) {
        const auto region = domains.regions.find(failureDomain);
        if (region == domains.regions.end()) {
            return PlacementObstacle::UnknownRegion;
        }
        if (!isWithin(home.ofRoute, region->second) || !isWithin(home.ofAccount, region->second)) {
            return PlacementObstacle::OtherRegion;
        }
    }
    return domains.evacuated.contains(failureDomain) ? PlacementObstacle::Evacuated : PlacementObstacle::None;
}

void PlacementCounts::add(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::None:
        ++this->allowed;
        break;
    case PlacementObstacle::Evacuated:
        ++this->evacuated;
        break;
    case PlacementObstacle::OtherRegion:
        ++this->otherRegion;
        break;
    case PlacementObstacle::UnknownRegion:
        ++this->unknownRegion;
        break;
    }
}

PlacementObstacle PlacementCounts::refusalCause() const
{
    if (this->allowed > 0) {
        return PlacementObstacle::None;
    }
    if (this->evacuated > 0) {
        return PlacementObstacle::Evacuated;
    }
    if (this->otherRegion > 0) {
        return PlacementObstacle::OtherRegion;
    }
    return this->unknownRegion > 0 ? PlacementObstacle::UnknownRegion : PlacementObstacle::None;
}

} // namespace Godwitfork
