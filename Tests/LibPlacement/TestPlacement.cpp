#include "LibPlacement/Placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace Godwitfork;

namespace
{
using Names = std::vector<std::string>;

Names drawNames(const Names &choices)
{
    return *rc::gen::container<Names>(rc::gen::elementOf(choices));
}

const Names domainNames = {"a", "b", "c", "d"};
const Names regionNames = {"north", "south", "east"};

FailureDomains drawDomains()
{
    FailureDomains domains;
    for (const std::string &domain : domainNames) {
        if (*rc::gen::arbitrary<bool>()) {
            domains.regions[domain] = *rc::gen::elementOf(regionNames);
        }
        if (*rc::gen::arbitrary<bool>()) {
            domains.evacuated.insert(domain);
        }
    }
    return domains;
}

bool isListed(const Names &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}
} // namespace

TEST_CASE("Without evacuations and home regions every failure domain is allowed, also an unknown one", "[placement]")
{
    // Guards against a deployment without the settings that is served differently.
    CHECK(findPlacementObstacle("a", {}, {}) == PlacementObstacle::None);
    CHECK(findPlacementObstacle("", {}, {}) == PlacementObstacle::None);
}

TEST_CASE("An evacuated failure domain is forbidden, and one of an unknown name forbids nothing else", "[placement]")
{
    const FailureDomains domains {{"a", "nowhere"}, {{"a", "north"}, {"b", "north"}}};
    CHECK(findPlacementObstacle("a", domains, {}) == PlacementObstacle::Evacuated);
    CHECK(findPlacementObstacle("b", domains, {}) == PlacementObstacle::None);
}

TEST_CASE("The home regions of route and account both bind", "[placement]")
{
    // Guards against HOME: a list that replaces the other one.
    const FailureDomains domains {{}, {{"a", "north"}, {"b", "south"}, {"c", "east"}}};
    const Names route {"north", "south"};
    const Names account {"south", "east"};
    CHECK(findPlacementObstacle("a", domains, {route, account}) == PlacementObstacle::OtherRegion);
    CHECK(findPlacementObstacle("b", domains, {route, account}) == PlacementObstacle::None);
    CHECK(findPlacementObstacle("c", domains, {route, account}) == PlacementObstacle::OtherRegion);
    CHECK(findPlacementObstacle("a", domains, {route, {}}) == PlacementObstacle::None);
    CHECK(findPlacementObstacle("c", domains, {{}, account}) == PlacementObstacle::None);
}

TEST_CASE("A failure domain without a known region is allowed only without home regions", "[placement]")
{
    // Guards against HOME: a domain that is missing from the settings may be anywhere.
    const Names home {"north"};
    CHECK(findPlacementObstacle("x", {}, {home, {}}) == PlacementObstacle::UnknownRegion);
    CHECK(findPlacementObstacle("x", {}, {{}, home}) == PlacementObstacle::UnknownRegion);
    CHECK(findPlacementObstacle("x", {}, {}) == PlacementObstacle::None);
}

TEST_CASE("An endpoint is allowed exactly where no rule forbids it", "[placement]")
{
    CHECK(rc::check([] {
        const FailureDomains domains = drawDomains();
        const Names route = drawNames(regionNames);
        const Names account = drawNames(regionNames);
        const std::string domain = *rc::gen::elementOf(domainNames);
        const auto region = domains.regions.find(domain);
        const bool hasHome = !route.empty() || !account.empty();
        const bool isHome = !hasHome
            || (region != domains.regions.end() && (route.empty() || isListed(route, region->second))
                && (account.empty() || isListed(account, region->second)));
        const bool isAllowed = isHome && !domains.evacuated.contains(domain);
        RC_ASSERT((findPlacementObstacle(domain, domains, {route, account}) == PlacementObstacle::None) == isAllowed);
    }));
}

TEST_CASE("The end of an evacuation restores what was allowed before it, and no evacuation allows more", "[placement]")
{
    CHECK(rc::check([] {
        FailureDomains domains = drawDomains();
        const Names route = drawNames(regionNames);
        const std::string domain = *rc::gen::elementOf(domainNames);
        const std::string evacuated = *rc::gen::elementOf(domainNames);
        domains.evacuated.erase(evacuated);
        const PlacementObstacle before = findPlacementObstacle(domain, domains, {route, {}});
        domains.evacuated.insert(evacuated);
        const PlacementObstacle during = findPlacementObstacle(domain, domains, {route, {}});
        RC_ASSERT(during == before || (domain == evacuated && before == PlacementObstacle::None && during == PlacementObstacle::Evacuated));
        domains.evacuated.erase(evacuated);
        RC_ASSERT(findPlacementObstacle(domain, domains, {route, {}}) == before);
    }));
}

TEST_CASE("A refusal has a cause exactly if there are endpoints and none is allowed", "[placement]")
{
    CHECK(rc::check([] {
        const auto obstacles = *rc::gen::container<std::vector<PlacementObstacle>>(
            rc::gen::element(PlacementObstacle::None, PlacementObstacle::Evacuated, PlacementObstacle::OtherRegion, PlacementObstacle::UnknownRegion));
        PlacementCounts counts;
        for (const PlacementObstacle obstacle : obstacles) {
            counts.add(obstacle);
        }
        const bool isAllowed = std::find(obstacles.begin(), obstacles.end(), PlacementObstacle::None) != obstacles.end();
        const PlacementObstacle cause = counts.refusalCause();
        RC_ASSERT((cause == PlacementObstacle::None) == (isAllowed || obstacles.empty()));
        RC_ASSERT(cause == PlacementObstacle::None || std::find(obstacles.begin(), obstacles.end(), cause) != obstacles.end());
        const auto evacuated = std::find(obstacles.begin(), obstacles.end(), PlacementObstacle::Evacuated);
        RC_ASSERT(isAllowed || evacuated == obstacles.end() || cause == PlacementObstacle::Evacuated);
    }));
}
