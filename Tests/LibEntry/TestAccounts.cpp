#include "StoreFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr const char *issuedKey = "Bearer key-a";
constexpr const char *unknownKey = "Bearer never-issued";
constexpr Duration startTime = 500ms;
/// Time in which an entry that is up to date reads one more change.
constexpr Duration stepTime = 200ms;

/// A store with an endpoint and a configuration with one account, and an entry.
struct AccountFixture : StoreFixture {
    AccountFixture()
    {
        this->configure(1, accountList({"a"}));
        this->addEndpoint("e1");
        this->instance = &this->addInstance();
        this->run(startTime);
    }

    /// Puts a configuration into force.
    void change(int version, const std::optional<nlohmann::json> &accounts, bool isPublic = false)
    {
        this->configure(version, accounts, isPublic);
        this->run(startTime);
    }

    int sendWith(const std::string &authorization)
    {
        return this->send(*this->instance, authorization);
    }

    ServingInstance *instance = nullptr;
};
} // namespace

TEST_CASE("An empty list of accounts lets no request in, with any key or none", "[accounts]")
{
    // Guards against ROUTE (review/13): with the last account removed, requests with any key ran.
    AccountFixture fixture;
    REQUIRE(fixture.sendWith(issuedKey) == 200);
    REQUIRE(fixture.sendWith(unknownKey) == 401);
    fixture.accountsOfRuns.clear();
    fixture.change(2, nlohmann::json::array());
    CHECK(fixture.sendWith(issuedKey) == 401);
    CHECK(fixture.sendWith(unknownKey) == 401);
    CHECK(fixture.sendWith("") == 401);
    CHECK(fixture.accountsOfRuns.empty());

    fixture.change(3, accountList({"a"}));
    CHECK(fixture.sendWith(issuedKey) == 200);
    CHECK(fixture.sendWith(unknownKey) == 401);
    CHECK(fixture.accountsOfRuns == std::vector<std::string> {"a"});
}

TEST_CASE("Public routes are served without a key while the list of accounts is empty", "[accounts]")
{
    AccountFixture fixture;
    fixture.change(2, nlohmann::json::array(), true);
    CHECK(fixture.sendWith("") == 200);
    CHECK(fixture.sendWith(unknownKey) == 200);
}

TEST_CASE("A configuration without a list of accounts asks for no key", "[accounts]")
{
    AccountFixture fixture;
    fixture.change(2, std::nullopt);
    CHECK(fixture.sendWith("") == 200);
    CHECK(fixture.sendWith(unknownKey) == 200);
    CHECK(fixture.accountsOfRuns == std::vector<std::string> {"", ""});
}

TEST_CASE("An account that loses its last key lets no request in", "[accounts]")
{
    AccountFixture fixture;
    const nlohmann::json keyless = {{"name", "a"}};
    const nlohmann::json emptyKeys = {{"name", "a"}, {"apiKeys", nlohmann::json::array()}};
    fixture.change(2, nlohmann::json::array({GENERATE_COPY(keyless, emptyKeys)}));
    for (const std::string authorization : {issuedKey, unknownKey, "Bearer ", "Bearer", ""}) {
        CHECK(fixture.sendWith(authorization) == 401);
    }
}

TEST_CASE("An empty key of an account lets no request without a key in", "[accounts]")
{
    // Guards against ROUTE: a request without a key was taken for one with the empty key.
    AccountFixture fixture;
    fixture.change(2, nlohmann::json::array({{{"name", "a"}, {"apiKeys", {"", "key-a"}}}}));
    CHECK(fixture.sendWith(issuedKey) == 200);
    for (const std::string authorization : {"", "Bearer", "Bearer ", "Basic a2V5"}) {
        CHECK(fixture.sendWith(authorization) == 401);
    }
}

TEST_CASE("A configuration whose lists are of another type is not adopted", "[accounts]")
{
    // Guards against ROUTE and wrong 404s: null or an object passed for an empty list of accounts or routes.
    AccountFixture fixture;
    const nlohmann::json sound = fixture.store.object("config", "main").at("spec");
    std::size_t version = 1;
    for (const std::string field : {"tenants", "routes", "services"}) {
        for (const nlohmann::json &value : {nlohmann::json(), nlohmann::json::object(), nlohmann::json(false), nlohmann::json("key-a")}) {
            INFO(field << ": " << value);
            nlohmann::json spec = sound;
            spec["version"] = ++version;
            spec[field] = value;
            fixture.store.put("config", "main", spec);
            fixture.run(stepTime);
            CHECK(fixture.sendWith(issuedKey) == 200);
            CHECK(fixture.sendWith(unknownKey) == 401);
            const EntryState &state = fixture.instance->relayed.state;
            CHECK(state.routes->configuration().version == 1);
            CHECK(state.ignoredItems.counts().at({"configuration", "wrong_type"}) == version - 1);
        }
    }
    fixture.change(static_cast<int>(++version), accountList({"b"}));
    CHECK(fixture.sendWith(issuedKey) == 401);
}
