#include "CatalogDecoder.h"
#include "LibGateway/CatalogHistory.h"
#include "LibGateway/PeerReport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
using Json = nlohmann::json;
using Random = std::mt19937_64;

constexpr std::uint64_t fuzzSeed = 20261205;

/// Runs `step` a fixed number of times, or for the seconds in GODWITFORK_FUZZ_SECONDS.
template<typename Step>
void fuzz(const char *name, int executions, Step step)
{
    Random random(fuzzSeed);
    const char *seconds = std::getenv("GODWITFORK_FUZZ_SECONDS");
    if (!seconds) {
        for (int i = 0; i < executions; ++i) {
            step(random);
        }
        return;
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::atoi(seconds));
    std::uint64_t count = 0;
    for (; std::chrono::steady_clock::now() < end; ++count) {
        step(random);
    }
    WARN(name << ": " << count << " executions");
}

template<typename T>
const T &pick(const std::vector<T> &choices, Random &random)
{
    return choices[random() % choices.size()];
}

std::vector<Json> endpointItems()
{
    std::vector<Json> items;
    for (int i = 0; i < 4; ++i) {
        items.push_back({{"metadata", {{"name", "i-" + std::to_string(i)}, {"revision", 9 + i}, {"created", 3}, {"finalizers", Json::array()}}},
                         {"spec",
                          {{"service", i % 2 == 0 ? "pool" : "desk"},
                           {"address", "10.0.0." + std::to_string(i + 1) + ":8080"},
                           {"zone", "a"},
                           {"version", "v1"},
                           {"slots", 6 + i},
                           {"state", i == 3 ? "draining" : "ready"},
                           {"coldRemainingMs", i * 100},
                           {"sequence", 4},
                           {"born", 1700000000000 + i}}},
                         {"status", nullptr}});
    }
    return items;
}

std::vector<Json> rolloutItems()
{
    std::vector<Json> items;
    for (const std::string name : {"pool", "desk", "shop"}) {
        items.push_back({{"metadata", {{"name", name}, {"revision", 5}}},
                         {"spec", {{"service", name}, {"target", "v2"}, {"durationS", 12.5}}},
                         {"status", {{"state", "in_progress"}, {"target", "v2"}}}});
    }
    return items;
}

std::vector<Json> configurationItems()
{
    const Json stream = {{"name", "r"},
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
                         {"maxAttempts", 3},
                         {"allowedRegions", {"north", "south"}}};
    const Json plain = {{"name", "q"}, {"host", "h.example"}, {"pathPrefix", "/b/"}, {"type", "idempotent"}, {"timeoutMs", 900}, {"service", "y"}};
    const Json service = {{"name", "x"},
                          {"healthPath", "/healthz"},
                          {"maxConns", 12},
                          {"engine", {{"slots", 64}, {"kvCapacity", 1000}, {"stride", 5}, {"models", {{{"name", "m0"}, {"cost", 0.1}}}}}}};
    const Json spec = {{"version", 7},
                       {"routes", {stream, plain}},
                       {"services", {service}},
                       {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
                       {"tenants", {{{"name", "t"}, {"apiKeys", {"k1", "k2"}}, {"priority", 1}, {"allowedRegions", {"south"}}}}}};
    return {Json {{"metadata", {{"name", "main"}, {"revision", 3}}}, {"spec", spec}}, Json {{"metadata", {{"name", "main"}, {"revision", 4}}}, {"spec", spec}}};
}

std::vector<Json> evacuationItems()
{
    std::vector<Json> items;
    for (const std::string name : {"a", "b", "c"}) {
        items.push_back({{"metadata", {{"name", name}, {"revision", 5}, {"finalizers", Json::array()}}}, {"spec", Json::object()}, {"status", nullptr}});
    }
    return items;
}

/// Texts that may stand in place of a value without breaking the strings and the nesting around it.
std::string oddText(Random &random)
{
    static const std::vector<std::string> texts = {"null",
                                                   "true",
                                                   "7",
                                                   "-1",
                                                   "0",
                                                   "1.5",
                                                   "1e400",
                                                   "-1E+999",
                                                   "1e300",
                                                   "-1e300",
                                                   "9223372036854775808",
                                                   "18446744073709551615",
                                                   "99999999999999999999999",
                                                   "1e15",
                                                   "\"\"",
                                                   "\"x\"",
                                                   "[]",
                                                   "{}",
                                                   "[[],{}]",
                                                   "\"10.0.0.1:0\"",
                                                   "\"10.0.0.1:70000\"",
                                                   "\"host.example:80\"",
                                                   "\"[::1]:80\"",
                                                   "\"ready\"",
                                                   "\"asleep\"",
                                                   "\"\xff\xfe\"",
                                                   "\"\xc0\xaf\"",
                                                   "\"\xed\xa0\x80\"",
                                                   "\"\xf4\x90\x80\x80\"",
                                                   R"("\ud800")",
                                                   R"("\udcff\u0041")",
                                                   R"("\x41")",
                                                   R"("\"{[")",
                                                   "\"\x01\"",
                                                   "\xff",
                                                   "\xfe\xff",
                                                   "NaN",
                                                   "Infinity",
                                                   "-",
                                                   "0x10",
                                                   "01",
                                                   "",
                                                   " ",
                                                   "tru",
                                                   "{\"a\":1,\"a\":2}",
                                                   "{\"metadata\":7}",
                                                   R"({"name":"i-0","name":"i-1"})"};
    switch (random() % 12) {
    case 0:
        return '"' + std::string(random() % 64 == 0 ? 1'000'000 : 3000, 'x') + '"';
    case 1: {
        const std::size_t depth = random() % 32 == 0 ? 20'000 : 70;
        return std::string(depth, '[') + std::string(depth, ']');
    }
    case 2: {
        std::string bytes;
        for (std::size_t i = random() % 12 + 1; i > 0; --i) {
            const auto byte = static_cast<char>(random());
            bytes += std::string_view("\"\\[]{},:").find(byte) == std::string_view::npos ? byte : '?';
        }
        return random() % 2 == 0 ? '"' + bytes + '"' : bytes;
    }
    default:
        return pick(texts, random);
    }
}

/// Chooses any value inside an object or array and returns it.
Json *anyValue(Json &json, Random &random)
{
    Json *value = &json;
    while (value->is_structured() && !value->empty() && (value == &json || random() % 4 != 0)) {
        auto child = value->begin();
        std::advance(child, static_cast<std::ptrdiff_t>(random() % value->size()));
        value = &*child;
    }
    return value;
}

/// Replaces, removes or doubles values of an item; strings and nesting stay balanced.
std::string mutatedItem(Json item, Random &random)
{
    const std::string mark = "~~~odd~~~";
    std::vector<std::string> odd;
    for (std::size_t i = random() % 3 + 1; i > 0; --i) {
        Json *parent = anyValue(item, random);
        if (random() % 4 == 0 && parent->is_object() && !parent->empty()) {
            auto member = parent->begin();
            std::advance(member, static_cast<std::ptrdiff_t>(random() % parent->size()));
            parent->erase(member);
            continue;
        }
        *parent = mark;
        odd.push_back(oddText(random));
    }
    std::string text = item.dump();
    const std::string quoted = '"' + mark + '"';
    for (const std::string &replacement : odd) {
        const std::size_t position = text.find(quoted);
        if (position != std::string::npos) {
            text.replace(position, quoted.size(), replacement);
        }
    }
    if (random() % 8 == 0) {
        // A field that is there twice.
        const std::size_t position = text.find("\"service\":");
        text.insert(position == std::string::npos ? (text.front() == '{' && text.size() > 2 ? 1 : 0) : position,
                    text.front() == '{' && text.size() > 2 ? "\"service\":\"other\"," : "");
    }
    return text;
}

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= 1024;
}

bool isValid(const CatalogObject &object)
{
    if (const auto *endpoint = std::get_if<EndpointEntry>(&object)) {
        return isValidName(endpoint->service) && !endpoint->address.host.empty() && endpoint->address.port != 0 && endpoint->slots >= 1
            && endpoint->incarnation >= 0 && !endpoint->id.empty();
    }
    if (const auto *order = std::get_if<RolloutOrder>(&object)) {
        return isValidName(order->service) && isValidName(order->target) && order->timeLimit >= Duration::zero();
    }
    if (const auto *evacuation = std::get_if<Evacuation>(&object)) {
        return isValidName(evacuation->failureDomain);
    }
    const auto &configuration = std::get<std::shared_ptr<const RouteConfiguration>>(object);
    return configuration && configuration->version >= 0 && std::all_of(configuration->routes.begin(), configuration->routes.end(), [](const Route &route) {
               return route.timeout >= Duration::zero() && !route.services.empty();
           });
}

bool isSame(const CatalogChange &change, const CatalogChange &other)
{
    if (change.name != other.name || change.revision != other.revision || change.fault != other.fault || change.object.has_value() != other.object.has_value()
        || change.source != other.source) {
        return false;
    }
    if (change.object && change.object->index() == 0) {
        return *std::get<0>(*change.object) == *std::get<0>(*other.object);
    }
    return change.object == other.object;
}

void checkChanges(const std::vector<CatalogChange> &changes, const std::vector<CatalogChange> &clean, std::size_t mutated, bool isDeletion)
{
    REQUIRE(changes.size() == clean.size());
    for (std::size_t i = 0; i < changes.size(); ++i) {
        if (i != mutated) {
            REQUIRE(isSame(changes[i], clean[i]));
        } else if (changes[i].object) {
            REQUIRE(changes[i].fault == ItemFault::None);
            REQUIRE(isValid(*changes[i].object));
        } else {
            const bool isRemoval = isDeletion || changes[i].problem.empty();
            REQUIRE((changes[i].fault != ItemFault::None) != isRemoval);
        }
    }
}

std::string joined(const std::vector<std::string> &items, const std::string &before, const std::string &after)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ",") + before + item + after;
    }
    return text;
}

void fuzzCatalog(CatalogKind kind, const std::vector<Json> &corpus, Random &random)
{
    std::vector<std::string> items;
    for (const Json &item : corpus) {
        items.push_back(item.dump());
    }
    const std::size_t mutated = random() % items.size();
    const bool isDeletion = random() % 4 == 0;
    const std::string after = R"(,"deleted":)" + std::string(isDeletion ? "true}" : "false}");
    const auto list = [&] { return Platform::decodeList(kind, R"({"entries":[)" + joined(items, "", "") + R"(],"hasMore":false,"at":7})"); };
    const auto events = [&] { return Platform::decodeEvents(kind, R"({"events":[)" + joined(items, R"({"object":)", after) + R"(],"at":7})"); };
    const auto cleanList = list();
    const auto cleanEvents = events();
    items[mutated] = mutatedItem(corpus[mutated], random);
    INFO(items[mutated].substr(0, 2000));
    const auto page = list();
    REQUIRE(page);
    checkChanges(page.value().page.changes, cleanList.value().page.changes, mutated, false);
    const auto changes = events();
    REQUIRE(changes);
    checkChanges(changes.value().changes, cleanEvents.value().changes, mutated, isDeletion);
}

PeerReport fullReport()
{
    PeerReport report;
    report.sender = {"entry-1", "10.0.0.1:7000", 120, "north"};
    report.configuration = 12;
    report.endpoints[endpointKey("e1")] = {3, 450ms, {1.5, 4}, 120ms};
    report.endpoints[endpointKey("e3")] = {1, 0ms, {}, std::nullopt};
    report.statistics["pool"] = {{12.25, 3.5}, {7, 20}, {200, 30}};
    report.statistics["desk"] = {{1, 3.5}, {7, 2}, {20, 3}};
    report.placements[endpointKey("e1")] = {{0xfedcba9876543210, 13000}, {7, 400}};
    report.placements[endpointKey("e2")] = {{5, 10}};
    report.leaving = {{"e2", 1700000000000}, {"e5", 1700000000001}};
    TrialReport trial;
    trial.service = "pool";
    trial.target = "v2";
    trial.state = RolloutState::InProgress;
    trial.age = 1500ms;
    trial.observations.candidateByRoute["r"] = {5, 1, 2, {5, 2500, 4000}};
    trial.observations.stableByRoute["r"] = {50, 1, 0, {48, -1200, 30500}};
    trial.sessions = {{0xfedcba9876543210, "v1", 2500ms}};
    report.trials = {trial, trial};
    report.promptEvidence = {{0xfedcba9876543210, {{7, 0xfedcba9876543211, 350ms}, {8, 3, 0ms}}, 0ms, true}, {5, {}, std::nullopt, false}};
    report.limits = {{"e1", 1700000000000, 4.5, 100ms}, {"e2", 1700000000000, std::nullopt, 0ms}};
    return report;
}

Json oddPeerValue(Random &random)
{
    static const std::vector<Json> values = {nullptr,
                                             true,
                                             -1,
                                             0,
                                             7,
                                             1.5,
                                             1e300,
                                             std::numeric_limits<double>::infinity(),
                                             std::numeric_limits<double>::quiet_NaN(),
                                             std::numeric_limits<std::int64_t>::min(),
                                             std::numeric_limits<std::int64_t>::max(),
                                             std::numeric_limits<std::uint64_t>::max(),
                                             "",
                                             "x",
                                             "\xff\xfe",
                                             "\xed\xa0\x80",
                                             std::string(100'000, 'x'),
                                             Json::array(),
                                             Json::object(),
                                             Json::array({1, 2}),
                                             Json {{"a", 1}}};
    return pick(values, random);
}

bool isFinite(const PeerReport &report)
{
    return std::all_of(report.statistics.begin(),
                       report.statistics.end(),
                       [](const auto &entry) { return std::isfinite(entry.second.slowdown.sum) && std::isfinite(entry.second.promptWaits.weight); })
        && std::all_of(report.endpoints.begin(), report.endpoints.end(), [](const auto &entry) {
               return entry.second.running >= 0 && entry.second.pendingPromptTime >= Duration::zero();
           });
}

/// Fields of a report that are lists of items, by their index in the message.
void checkOtherFields(const PeerReport &report, const PeerReport &clean, std::size_t mutated)
{
    REQUIRE((mutated == 4 || report.endpoints == clean.endpoints));
    REQUIRE((mutated == 5 || report.statistics == clean.statistics));
    REQUIRE((mutated == 6 || report.placements == clean.placements));
    REQUIRE((mutated == 7 || report.leaving == clean.leaving));
    REQUIRE((mutated == 8 || report.trials == clean.trials));
    REQUIRE((mutated == 9 || report.promptEvidence == clean.promptEvidence));
    REQUIRE((mutated == 10 || report.limits == clean.limits));
}
} // namespace

TEST_CASE("An odd object of the store is decoded with all required fields or not at all, and its neighbours as without it", "[fuzz]")
{
    const std::vector<Json> endpoints = endpointItems();
    const std::vector<Json> rollouts = rolloutItems();
    const std::vector<Json> configurations = configurationItems();
    const std::vector<Json> evacuations = evacuationItems();
    fuzz("store objects", 1500, [&](Random &random) {
        fuzzCatalog(CatalogKind::Endpoints, endpoints, random);
        fuzzCatalog(CatalogKind::Rollouts, rollouts, random);
        fuzzCatalog(CatalogKind::Configuration, configurations, random);
        fuzzCatalog(CatalogKind::Evacuations, evacuations, random);
    });
}

TEST_CASE("Damaged answers of the store and frames of a hub are refused or decoded without an exception", "[fuzz]")
{
    const std::string body = R"({"events":[{"object":)" + endpointItems()[0].dump() + R"(},{"deleted":true,"object":)" + rolloutItems()[0].dump()
        + R"(},{"object":)" + configurationItems()[0].dump() + R"(},{"object":)" + evacuationItems()[0].dump() + R"(}],"entries":[],"hasMore":true,"at":7})";
    const std::string frame = encodeRelayFrame({RelayFrame::Type::Page, CatalogKind::Endpoints, {3, 9, body}});
    fuzz("damaged texts", 20000, [&](Random &random) {
        for (std::string text : {body, frame}) {
            for (std::size_t i = random() % 4 + 1; i > 0; --i) {
                text[random() % text.size()] = static_cast<char>(random());
            }
            text.resize(random() % 4 == 0 ? random() % text.size() : text.size());
            for (const CatalogKind kind : {CatalogKind::Configuration, CatalogKind::Endpoints, CatalogKind::Rollouts, CatalogKind::Evacuations}) {
                (void)Platform::decodeList(kind, text);
                const auto page = Platform::decodeEvents(kind, text);
                for (const CatalogChange &change : page ? page.value().changes : std::vector<CatalogChange>()) {
                    REQUIRE((!change.object || (change.fault == ItemFault::None && isValid(*change.object))));
                }
            }
            (void)decodeRelayFrame(text);
        }
    });
}

TEST_CASE("An odd item of a peer's report leaves the other items as they are", "[fuzz]")
{
    const PeerReport clean = fullReport();
    const Json message = Json::from_cbor(encodePeerReport(clean));
    constexpr std::size_t firstList = 4;
    fuzz("peers' reports", 20000, [&](Random &random) {
        Json odd = message;
        const std::size_t field = firstList + random() % (message.size() - firstList);
        if (random() % 8 == 0) {
            odd[field] = oddPeerValue(random);
        } else {
            *anyValue(odd[field], random) = oddPeerValue(random);
        }
        std::vector<std::uint8_t> bytes = Json::to_cbor(odd);
        const auto report = decodePeerReport(std::string(bytes.begin(), bytes.end()));
        REQUIRE(report);
        REQUIRE(report.value().sender == clean.sender);
        checkOtherFields(report.value(), clean, field);
        REQUIRE(isFinite(report.value()));
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        (void)decodePeerReport(std::string(bytes.begin(), bytes.end()));
        (void)decodePeerSummary(std::string(bytes.begin(), bytes.end()));
    });
}
