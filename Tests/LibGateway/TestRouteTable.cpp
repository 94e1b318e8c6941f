#include "LibGateway/RouteTable.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
Route route(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "h.example";
    route.leadingPath = prefix;
    route.services = {{"pool", 90}, {"other", 10}};
    return route;
}

RouteTable table()
{
    ClientAccount account;
    account.name = "shop";
    account.keys = {"k1", "k2"};
    return RouteTable(RouteConfigurationBuilder(7).addRoute(route("short", "/a/")).addRoute(route("long", "/a/b/")).addAccount(account).build());
}
} // namespace

TEST_CASE("The route of the host with the longest matching prefix is found", "[routes]")
{
    const RouteTable routes = table();
    CHECK(routes.findRoute("h.example", "/a/b/c")->name == "long");
    CHECK(routes.findRoute("h.example", "/a/bc")->name == "short");
    CHECK(routes.findRoute("h.example", "/a") == nullptr);
    CHECK(routes.findRoute("other.example", "/a/b/c") == nullptr);
}

TEST_CASE("An account is found by each of its keys", "[routes]")
{
    const RouteTable routes = table();
    CHECK(routes.findAccount("k2")->name == "shop");
    CHECK(routes.findAccount("") == nullptr);
}

TEST_CASE("Services are chosen in proportion to their weights", "[routes]")
{
    const Route split = route("r", "/");
    CHECK(chooseService(split, 0) == "pool");
    CHECK(chooseService(split, 0.89) == "pool");
    CHECK(chooseService(split, 0.91) == "other");
    CHECK(chooseService(split, 0.9999999) == "other");
    CHECK(chooseService(Route {}, 0.5).empty());
}
