#include "CatalogDecoder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
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
              {"coldRemainingMs", 0},
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

TEST_CASE("An empty list of accounts makes requests need a key, and a configuration without the list does not", "[platform]")
{
    // Guards against ROUTE (review/13): a list that was there and empty was read like one that is absent.
    nlohmann::json object = configurationObject();
    const auto configuration = [&] {
        return *std::get<std::shared_ptr<const RouteConfiguration>>(*Platform::decodeObject(CatalogKind::Configuration, object).object);
    };
    CHECK(configuration().requiresKey);
    object["spec"]["tenants"] = nlohmann::json::array();
    CHECK(configuration().requiresKey);
    CHECK(configuration().accounts.empty());
    object["spec"].erase("tenants");
    CHECK_FALSE(configuration().requiresKey);
}

TEST_CASE("The home regions of routes and accounts are decoded, and malformed ones make the configuration not understood", "[platform]")
{
    // Guards against HOME: a restriction that is not understood must not be taken for none.
    nlohmann::json object = configurationObject();
    const auto decoded = [&] { return Platform::decodeObject(CatalogKind::Configuration, object); };
    const auto configuration = [&] { return *std::get<std::shared_ptr<const RouteConfiguration>>(*decoded().object); };
    CHECK(configuration().routes.at(0).homeRegions.empty());
    CHECK(configuration().accounts.at(0).homeRegions.empty());
    object["spec"]["routes"][0]["allowedRegions"] = {"north", "south"};
    object["spec"]["tenants"][0]["allowedRegions"] = {"south"};
    CHECK(configuration().routes.at(0).homeRegions == std::vector<std::string> {"north", "south"});
    CHECK(configuration().accounts.at(0).homeRegions == std::vector<std::string> {"south"});
    for (const char *part : {"routes", "tenants"}) {
        for (const nlohmann::json &odd : std::vector<nlohmann::json> {"north", 7, {7}, {{"north", true}}, nullptr, {nullptr}}) {
            INFO(part << odd.dump());
            object = configurationObject();
            object["spec"][part][0]["allowedRegions"] = odd;
            CHECK_FALSE(decoded().object);
            CHECK(decoded().fault == ItemFault::WrongType);
        }
    }
}

TEST_CASE("An evacuation is decoded by its name, and one without a name or a specification is not understood", "[platform]")
{
    const nlohmann::json object = {{"metadata", {{"name", "zone-1"}, {"revision", 4}}}, {"spec", nlohmann::json::object()}};
    const CatalogChange change = Platform::decodeObject(CatalogKind::Evacuations, object);
    REQUIRE(change.object);
    CHECK(std::get<Evacuation>(*change.object).failureDomain == "zone-1");
    CHECK(std::string(Platform::kindPath(CatalogKind::Evacuations)) == "evacuations");
    nlohmann::json extended = object;
    extended["spec"]["reason"] = "fire";
    CHECK(Platform::decodeObject(CatalogKind::Evacuations, extended).object);
    for (const nlohmann::json &spec : std::vector<nlohmann::json> {7, nullptr, nlohmann::json::array(), "x"}) {
        nlohmann::json odd = object;
        odd["spec"] = spec;
        CHECK_FALSE(Platform::decodeObject(CatalogKind::Evacuations, odd).object);
        CHECK(Platform::decodeObject(CatalogKind::Evacuations, odd).fault == ItemFault::InvalidValue);
    }
    nlohmann::json nameless = object;
    nameless["metadata"]["name"] = "";
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Evacuations, nameless).object);
    nlohmann::json bare = object;
    bare.erase("spec");
    CHECK(Platform::decodeObject(CatalogKind::Evacuations, bare).fault == ItemFault::MissingField);
    nlohmann::json removed = object;
    removed["metadata"]["deletionPending"] = true;
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Evacuations, removed).object);
    CHECK(Platform::decodeObject(CatalogKind::Evacuations, removed).fault == ItemFault::None);
}

TEST_CASE("A malformed registration yields no endpoint and describes the problem", "[platform]")
{
    // Entries from other writers may have missing fields, wrong types or unknown values.
    REQUIRE(Platform::decodeObject(CatalogKind::Endpoints, endpointObject()).object);
    for (const auto &[field, value] : std::vector<std::pair<std::string, nlohmann::json>> {{"service", 7},
                                                                                           {"address", "nowhere"},
                                                                                           {"state", "asleep"},
                                                                                           {"slots", "many"},
                                                                                           {"version", nullptr},
                                                                                           {"born", "long ago"},
                                                                                           {"service", ""},
                                                                                           {"service", std::string(1'000'000, 'x')},
                                                                                           {"version", std::string(1'000'000, 'x')},
                                                                                           {"zone", 7},
                                                                                           {"zone", ""},
                                                                                           {"address", "10.0.0.9"},
                                                                                           {"address", "10.0.0.9:0"},
                                                                                           {"address", "host.example:80"},
                                                                                           {"state", "Ready"},
                                                                                           {"slots", 1.5},
                                                                                           {"slots", 0},
                                                                                           {"born", 1.5},
                                                                                           {"born", -1},
                                                                                           {"born", nullptr},
                                                                                           {"sequence", "4"},
                                                                                           {"sequence", -1},
                                                                                           {"sequence", nullptr},
                                                                                           {"coldRemainingMs", "0"},
                                                                                           {"coldRemainingMs", -1},
                                                                                           {"coldRemainingMs", 1e300},
                                                                                           {"coldRemainingMs", nullptr},
                                                                                           {"coldRemainingMs", true}}) {
        nlohmann::json object = endpointObject();
        object["spec"][field] = value;
        const CatalogChange change = Platform::decodeObject(CatalogKind::Endpoints, object);
        CHECK_FALSE(change.object);
        CHECK_FALSE(change.problem.empty());
        CHECK(change.name == "i-1");
    }
    for (const std::string field : {"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence", "born"}) {
        // Guards against ROUTE: an entry without the last three was taken for an endpoint and got requests.
        INFO(field);
        nlohmann::json object = endpointObject();
        object["spec"].erase(field);
        CHECK_FALSE(Platform::decodeObject(CatalogKind::Endpoints, object).object);
        CHECK(Platform::decodeObject(CatalogKind::Endpoints, object).fault == ItemFault::MissingField);
    }
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Endpoints, {{"metadata", {{"name", "i-1"}}}, {"spec", "\xff\xfe"}}).object);
}

TEST_CASE("A registration states how long its endpoint stays cold, and the number of its renewal", "[platform]")
{
    // Guards against FAILBACK: the time was checked and dropped, so that a cold endpoint was taken for a warm one.
    nlohmann::json object = endpointObject();
    object["spec"]["coldRemainingMs"] = 2350.5;
    const CatalogChange cold = Platform::decodeObject(CatalogKind::Endpoints, object);
    CHECK(std::get<EndpointEntry>(*cold.object).coldRemaining == 2350500us);
    CHECK(std::get<EndpointEntry>(*cold.object).sequence == 4);
    object["spec"]["coldRemainingMs"] = 0;
    CHECK(std::get<EndpointEntry>(*Platform::decodeObject(CatalogKind::Endpoints, object).object).coldRemaining == Duration::zero());
}

TEST_CASE("A service states the rate that its cold endpoints can take, or none", "[platform]")
{
    const auto serviceOf = [](const nlohmann::json &fields) {
        nlohmann::json object = configurationObject();
        object["spec"]["services"][0].update(fields);
        const CatalogChange change = Platform::decodeObject(CatalogKind::Configuration, object);
        return change.object ? std::optional(std::get<std::shared_ptr<const RouteConfiguration>>(*change.object)->services.at(0)) : std::nullopt;
    };
    const auto cold = serviceOf({{"coldStartS", 3.0}, {"coldPerS", 5.2}});
    REQUIRE(cold);
    CHECK(cold->coldTime == 3s);
    CHECK(cold->coldRequestsPerSecond == 5.2);
    // Guards against CONFIG: deployments without the fields, or without values for them, keep their configuration.
    for (const nlohmann::json &fields : {nlohmann::json::object(), nlohmann::json {{"coldStartS", nullptr}, {"coldPerS", nullptr}}}) {
        const auto plain = serviceOf(fields);
        REQUIRE(plain);
        CHECK(plain->coldTime == 0s);
        CHECK(plain->coldRequestsPerSecond == 0);
    }
    for (const nlohmann::json &odd : {nlohmann::json(-1), nlohmann::json(1e300), nlohmann::json("5"), nlohmann::json(true)}) {
        CHECK_FALSE(serviceOf({{"coldPerS", odd}}));
        CHECK_FALSE(serviceOf({{"coldStartS", odd}}));
    }
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

TEST_CASE("An odd entry of another writer does not hide the other entries of a list or of a page of events", "[platform]")
{
    // Guards against LOST: one entry that is deeply nested, has a number too large or a port out of range ended the reading of all.
    constexpr int depth = 100'000;
    const std::string good = endpointObject().dump();
    const auto with = [&good](const std::string &part, const std::string &odd) {
        std::string text = good;
        return text.replace(text.find(part), part.size(), odd);
    };
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> unusable = {with("10.0.0.9:8080", "10.0.0.9:70000"),
                                               with("10.0.0.9:8080", "10.0.0.9:99999999999999999999"),
                                               with("\"slots\":64", "\"slots\":1e400"),
                                               with("\"slots\":64", "\"slots\":1e300"),
                                               with("\"slots\":64", "\"slots\":99999999999999999999999"),
                                               with("\"slots\":64", "\"slots\":-5"),
                                               with("\"born\":1700000000000", "\"born\":1e400"),
                                               with("\"born\":1700000000000", "\"born\":18446744073709551615"),
                                               with("\"slots\":64", "\"slots\":" + nested),
                                               with("\"spec\":{", "\"spec\":" + nested + ",\"other\":{")};
    for (const std::string &odd : unusable) {
        INFO(odd.substr(0, 200));
        const auto list = Platform::decodeList(CatalogKind::Endpoints, R"({"entries":[)" + odd + "," + good + R"(],"at":7})");
        REQUIRE(list);
        REQUIRE(list.value().page.changes.size() == 2);
        CHECK_FALSE(list.value().page.changes[0].object);
        CHECK_FALSE(list.value().page.changes[0].problem.empty());
        CHECK(list.value().page.changes[1].object);
        const auto events = Platform::decodeEvents(CatalogKind::Endpoints, R"({"events":[{"object":)" + odd + R"(},{"object":)" + good + R"(}],"at":7})");
        REQUIRE(events);
        CHECK(events.value().changes.at(1).object);
    }
    // A field that the platform does not name may hold anything.
    for (const std::string &other : {nested, std::string("1e400"), std::string("-1E+999")}) {
        const std::string withOther = with("\"sequence\":4", "\"sequence\":4,\"other\":" + other);
        const auto list = Platform::decodeList(CatalogKind::Endpoints, R"({"entries":[)" + withOther + R"(],"at":7})");
        REQUIRE(list);
        CHECK(list.value().page.changes.at(0).object);
        // A field that each endpoint states may not.
        const auto odd = Platform::decodeList(CatalogKind::Endpoints, R"({"entries":[)" + with("\"sequence\":4", "\"sequence\":" + other) + R"(],"at":7})");
        REQUIRE(odd);
        CHECK_FALSE(odd.value().page.changes.at(0).object);
    }
}

TEST_CASE("A roll-out whose status is odd is read as ordered", "[platform]")
{
    constexpr int depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string object = R"({"metadata":{"name":"pool","revision":3},"spec":{"service":"pool","target":"v2","durationS":15},"status":)" + nested + "}";
    const CatalogChange change = Platform::decodeObject(CatalogKind::Rollouts, nlohmann::json::parse(object));
    REQUIRE(change.object);
    CHECK(std::get<RolloutOrder>(*change.object).state == RolloutState::Ordered);
}

TEST_CASE("Bytes of one entry that no parser accepts leave the other entries of a list or of a page of events as they are", "[platform]")
{
    // Guards against RECOVER and DRAIN: one entry that was not UTF-8 hid all endpoints, and restarted instances never became ready.
    const std::string good = endpointObject().dump();
    const auto with = [&good](const std::string &part, const std::string &odd) {
        std::string text = good;
        return text.replace(text.find(part), part.size(), odd);
    };
    const std::vector<std::string> unreadable = {with("10.0.0.9:8080", "\xff\xfe"),
                                                 with("10.0.0.9:8080", "\xc0\xaf"),
                                                 with("10.0.0.9:8080", "\xed\xa0\x80"),
                                                 with("10.0.0.9:8080", R"(\udcff)"),
                                                 with("10.0.0.9:8080", R"(\ud800\u0041)"),
                                                 with("10.0.0.9:8080", R"(\x41\")"),
                                                 with("10.0.0.9:8080", std::string("\0", 1)),
                                                 with("10.0.0.9:8080", std::string(1'000'000, '\xff')),
                                                 with("\"slots\":64", "\"slots\":0x40"),
                                                 with("\"slots\":64", "\"slots\":NaN"),
                                                 with("\"slots\":64", "\"slots\":\xff"),
                                                 with("\"slots\":64", "\"slots\""),
                                                 with("\"slots\":64", ""),
                                                 with("\"slots\":64", "\xff\xfe:64")};
    for (const std::string &odd : unreadable) {
        INFO(odd.substr(0, 300));
        for (const std::string &items : {odd + "," + good, good + "," + odd, good + "," + odd + "," + good}) {
            const auto list = Platform::decodeList(CatalogKind::Endpoints, R"({"entries":[)" + items + R"(],"hasMore":false,"at":7})");
            REQUIRE(list);
            CHECK(list.value().page.revision == 7);
            const auto understood = static_cast<std::size_t>(std::count_if(
                list.value().page.changes.begin(), list.value().page.changes.end(), [](const auto &change) { return change.object.has_value(); }));
            CHECK(understood + 1 == list.value().page.changes.size());
            for (const CatalogChange &change : list.value().page.changes) {
                CHECK(change.name == "i-1");
                CHECK(change.object.has_value() == change.problem.empty());
            }
        }
        const std::string events = R"({"events":[{"object":)" + odd + R"(},{"deleted":true,"object":)" + odd + R"(},{"object":)" + good + R"(}],"at":7})";
        const auto page = Platform::decodeEvents(CatalogKind::Endpoints, events);
        REQUIRE(page);
        REQUIRE(page.value().changes.size() == 3);
        CHECK_FALSE(page.value().changes[0].problem.empty());
        // A name whose entry was removed is removed, whatever the entry held.
        CHECK(page.value().changes[1].name == "i-1");
        CHECK(page.value().changes[1].problem.empty());
        CHECK_FALSE(page.value().changes[1].object);
        CHECK(page.value().changes[2].object);
    }
}

TEST_CASE("An event that is no object leaves the other events of a page as they are", "[platform]")
{
    // Guards against RECOVER and DRAIN: the page was refused, and the follower asked for it again without end.
    const std::string good = R"({"object":)" + endpointObject().dump() + "}";
    for (const std::string odd : {"7", "null", "[]", "{}", R"({"object":7})", R"({"object":{"metadata":[]}})", "\xff", R"("\ud800")"}) {
        INFO(odd);
        const auto page = Platform::decodeEvents(CatalogKind::Endpoints, R"({"events":[)" + odd + "," + good + R"(],"at":7})");
        REQUIRE(page);
        REQUIRE(page.value().changes.size() == 2);
        CHECK_FALSE(page.value().changes[0].object);
        CHECK_FALSE(page.value().changes[0].problem.empty());
        CHECK(page.value().changes[1].object);
    }
}

TEST_CASE("A page of a list is continued after the last name that can be read", "[platform]")
{
    // Guards against endpoints that are missing: a page that ended with an unreadable name ended the list.
    const std::string good = endpointObject().dump();
    const std::string nameless = R"({"metadata":{"name":")" + std::string("\xff") + R"("}})";
    const auto list = Platform::decodeList(CatalogKind::Endpoints, R"({"entries":[)" + good + "," + nameless + R"(],"hasMore":true,"at":7})");
    REQUIRE(list);
    CHECK(list.value().hasMore);
    CHECK(list.value().lastName == "i-1");
}

TEST_CASE("Numbers that no time or count can hold make a configuration or roll-out not understood", "[platform]")
{
    // Guards against time limits that overflow: a time of 1e300 ms was converted to a negative one.
    const std::string configuration = configurationObject().dump();
    for (const std::string field : {"timeoutMs",
                                    "targetLatencyMs",
                                    "targetItlMs",
                                    "priority",
                                    "maxAttempts",
                                    "slots",
                                    "kvCapacity",
                                    "stride",
                                    "cost",
                                    "weight",
                                    "maxHeaderBytes",
                                    "maxBodyBytes",
                                    "headerTimeoutMs",
                                    "idleTimeoutMs",
                                    "version"}) {
        for (const std::string number : {"1e300", "-1e300", "1e400", "99999999999999999999999", "\"7\"", "[]"}) {
            INFO(field << " " << number);
            std::string odd = configuration;
            const std::size_t start = odd.find('"' + field + "\":") + field.size() + 3;
            odd.replace(start, odd.find_first_of(",}]", start) - start, number);
            const CatalogChange change = Platform::decodeObjectText(CatalogKind::Configuration, odd);
            CHECK_FALSE(change.object);
            CHECK(change.fault != ItemFault::None);
        }
    }
    for (const std::string number : {"1e300", "-1", "1e400", "null"}) {
        const std::string rollout = R"({"metadata":{"name":"pool","revision":3},"spec":{"service":"pool","target":"v2","durationS":)" + number + "}}";
        CHECK_FALSE(Platform::decodeObjectText(CatalogKind::Rollouts, rollout).object);
    }
}

TEST_CASE("A configuration under another name and a roll-out under the name of another service are not understood", "[platform]")
{
    // Guards against CONFIG and EXPOSURE: another writer's object with a higher version took the place of the configuration in force.
    nlohmann::json configuration = configurationObject();
    CHECK(Platform::decodeObject(CatalogKind::Configuration, configuration).object);
    configuration["metadata"]["name"] = "other";
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Configuration, configuration).object);
    nlohmann::json rollout = {{"metadata", {{"name", "pool"}, {"revision", 4}}}, {"spec", {{"service", "pool"}, {"target", "v3"}, {"durationS", 12}}}};
    CHECK(Platform::decodeObject(CatalogKind::Rollouts, rollout).object);
    rollout["metadata"]["name"] = "other";
    CHECK_FALSE(Platform::decodeObject(CatalogKind::Rollouts, rollout).object);
}
