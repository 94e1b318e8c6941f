#include "CatalogDecoder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
nlohmann::json endpointObject()
{
    return {{"metadata", {{"name", "i-1"}, {"revision", 9}}},
            {"spec",
             {{"service", "pool"},
              {"address", "10.0.0.9:8080"},
              {"zone", "a"},
              {"version", "v1"},
              {"slots", 64},
              {"state", "ready"},
              {"born", 1700000000000},
              {"sequence", 4}}}};
}

nlohmann::json configurationObject()
{
    nlohmann::json route = {{"name", "r"},
                            {"host", "h.example"},
                            {"pathPrefix", "/a/"},
                            {"type", "streaming"},
                            {"resumable", true},
                            {"timeoutMs", 12000},
                            {"targetLatencyMs", 2000},
                            {"targetItlMs", 1200},
                            {"priority", 1},
                            {"sizes", {"m0", "m1"}},
                            {"split", {{{"service", "x"}, {"weight", 90}}, {{"service", "y"}, {"weight", 10}}}},
                            {"maxAttempts", 3}};
    nlohmann::json service = {{"name", "x"},
                              {"healthPath", "/healthz"},
                              {"engine", {{"slots", 64}, {"kvCapacity", 1000}, {"stride", 5}, {"models", {{{"name", "m0"}, {"cost", 0.1}}}}}}};
    return {{"metadata", {{"name", "main"}, {"revision", 3}}},
            {"spec",
             {{"version", 7},
              {"routes", {route}},
              {"services", {service}},
              {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
              {"tenants", {{{"name", "t"}, {"apiKeys", {"k1", "k2"}}, {"priority", 1}}}}}}};
}
} // namespace

TEST_CASE("A configuration is decoded into routes, services, accounts and limits", "[platform]")
{
    const CatalogChange change = Platform::decodeObject(CatalogKind::Configuration, configurationObject());
    REQUIRE(change.object);
    const auto &configuration = *std::get<std::shared_ptr<const RouteConfiguration>>(*change.object);
    CHECK(configuration.version == 7);
    const Route &route = configuration.routes.at(0);
    CHECK(route.repeatRule == RepeatRule::ResumableStream);
    CHECK(route.timeout == 12s);
    CHECK(route.latencyObjective == 2s);
    CHECK(route.pauseObjective == 1200ms);
    CHECK(route.models == std::vector<std::string> {"m0", "m1"});
    CHECK(route.services.size() == 2);
    CHECK(configuration.services.at(0).engine->tokensPerEvent == 5);
    CHECK(configuration.accounts.at(0).keys.size() == 2);
    CHECK(configuration.accounts.at(0).priority == 1);
    CHECK(configuration.limits.idleTimeout == 15s);
    // The source that is sent to other instances decodes to the same configuration.
    CHECK(*std::get<std::shared_ptr<const RouteConfiguration>>(*Platform::decodeConfigurationSource(change.source).object) == configuration);
}

TEST_CASE("A malformed registration yields no endpoint and describes the problem", "[platform]")
{
    // Entries from other writers may have missing fields, wrong types or unknown values.
    REQUIRE(Platform::decodeObject(CatalogKind::Endpoints, endpointObject()).object);
    for (const auto &[field, value] : std::vector<std::pair<std::string, nlohmann::json>> {
             {"service", 7}, {"address", "nowhere"}, {"state", "asleep"}, {"slots", "many"}, {"version", nullptr}, {"born", "long ago"}}) {
        nlohmann::json object = endpointObject();
        object["spec"][field] = value;
        const CatalogChange change = Platform::decodeObject(CatalogKind::Endpoints, object);
        CHECK_FALSE(change.object);
        CHECK_FALSE(change.problem.empty());
        CHECK(change.name == "i-1");
    }
    for (const std::string field : {"service", "address", "zone", "version", "slots", "state"}) {
        nlohmann::json object = endpointObject();
        object["spec"].erase(field);
        CHECK_FALSE(Platform::decodeObject(CatalogKind::Endpoints, object).object);
    }
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Endpoints, {{"metadata", {{"name", "i-1"}}}, {"spec", "\xff\xfe"}}).object);
}

TEST_CASE("A deleted object decodes as a removal", "[platform]")
{
    const nlohmann::json event = {{"deleted", true}, {"object", endpointObject()}};
    const auto page = Platform::decodeEvents(CatalogKind::Endpoints, nlohmann::json({{"events", {event}}, {"at", 12}}).dump());
    REQUIRE(page);
    CHECK(page.value().revision == 12);
    CHECK_FALSE(page.value().changes.at(0).object);
    CHECK(page.value().changes.at(0).problem.empty());
}

TEST_CASE("The status of an earlier roll-out order does not apply to a new one", "[platform]")
{
    nlohmann::json object = {{"metadata", {{"name", "pool"}, {"revision", 4}}},
                             {"spec", {{"service", "pool"}, {"target", "v3"}, {"durationS", 12}}},
                             {"status", {{"state", "completed"}, {"target", "v2"}}}};
    const CatalogChange earlier = Platform::decodeObject(CatalogKind::Rollouts, object);
    CHECK(std::get<RolloutOrder>(*earlier.object).state == RolloutState::Ordered);
    object["status"]["target"] = "v3";
    const CatalogChange own = Platform::decodeObject(CatalogKind::Rollouts, object);
    CHECK(std::get<RolloutOrder>(*own.object).state == RolloutState::Completed);
}

TEST_CASE("Corrupted answers of the store fail without an exception", "[platform]")
{
    const std::string list = nlohmann::json({{"entries", {endpointObject(), configurationObject()}}, {"hasMore", false}, {"at", 5}}).dump();
    std::mt19937_64 random(20261204);
    int failures = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = list;
        for (int j = 0; j < 4; ++j) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        for (const CatalogKind kind : {CatalogKind::Configuration, CatalogKind::Endpoints, CatalogKind::Rollouts}) {
            failures += Platform::decodeList(kind, damaged) ? 0 : 1;
            failures += Platform::decodeEvents(kind, damaged) ? 0 : 1;
        }
    }
    CHECK(failures > 0);
    CHECK_FALSE(Platform::decodeList(CatalogKind::Endpoints, "[]"));
    CHECK_FALSE(Platform::decodeEvents(CatalogKind::Endpoints, "{}"));
}
