#include "LibEntry/CatalogChanges.h"

#include "CatalogDecoder.h"
#include "LibGateway/CatalogHistory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
std::string endpointText(const std::string &name, const std::string &address)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":9},"spec":{"service":"pool","address":")" + address
        + R"(","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}})";
}

std::string rolloutText(const std::string &target)
{
    return R"({"metadata":{"name":"pool","revision":3},"spec":{"service":"pool","target":)" + target + R"(,"durationS":15}})";
}

CatalogPage listPage(CatalogKind kind, const std::string &items)
{
    return Platform::decodeList(kind, R"({"entries":[)" + items + R"(],"hasMore":false,"at":7})").value().page;
}

void applyEvents(EntryState &state, CatalogKind kind, const std::string &events, SnapshotTrust trust, MonotonicTime now)
{
    const auto page = Platform::decodeEvents(kind, R"({"events":[)" + events + R"(],"at":8})");
    for (const CatalogChange &change : page.value().changes) {
        applyCatalogChange(state, kind, change, trust, now);
    }
}

const std::string unreadableAddress = "\xff\xfe";
const MonotonicTime start = MonotonicTime(1h);
} // namespace

TEST_CASE("An entry that turns unreadable names no endpoint, also soon after a store outage, until it is readable again", "[catalog]")
{
    // Guards against requests to endpoints that no entry names (ROUTE): an overwritten entry was held like one that had expired in an outage.
    const SnapshotTrust trust = GENERATE(SnapshotTrust {}, SnapshotTrust {start - 100ms});
    const bool isListed = GENERATE(true, false);
    EntryState state {EntrySettings()};
    const std::string items = endpointText("i-1", "10.0.0.1:80") + "," + endpointText("i-2", "10.0.0.2:80");
    applyEndpointList(state, listPage(CatalogKind::Endpoints, items), {}, start);
    REQUIRE(state.endpoints.size() == 2);
    if (isListed) {
        const std::string odd = endpointText("i-1", unreadableAddress) + "," + endpointText("i-2", "10.0.0.2:80");
        applyEndpointList(state, listPage(CatalogKind::Endpoints, odd), trust, start);
    } else {
        applyEvents(state, CatalogKind::Endpoints, R"({"object":)" + endpointText("i-1", unreadableAddress) + "}", trust, start);
    }
    CHECK_FALSE(state.endpoints.find("i-1"));
    CHECK(state.endpoints.find("i-2"));
    // The endpoint itself has not left, so other instances are not told that it has.
    CHECK(state.recentlyRemoved.empty());
    CHECK(state.ignoredItems.counts().at({"endpoints", "unreadable"}) == 1);
    applyEvents(state, CatalogKind::Endpoints, R"({"object":)" + endpointText("i-1", "10.0.0.1:80") + "}", trust, start);
    CHECK(state.endpoints.find("i-1"));
}

TEST_CASE("An unreadable entry whose name was never understood changes no endpoint", "[catalog]")
{
    // Guards against RECOVER: one entry of another writer hid all endpoints.
    EntryState state {EntrySettings()};
    const std::string items = endpointText("i-1", "10.0.0.1:80") + "," + endpointText("other-1", unreadableAddress);
    applyEndpointList(state, listPage(CatalogKind::Endpoints, items), {}, start);
    CHECK(state.endpointsKnown);
    CHECK(state.endpoints.size() == 1);
    applyEvents(state, CatalogKind::Endpoints, R"({"object":)" + endpointText("other-2", unreadableAddress) + R"(},7,{"deleted":true})", {}, start);
    CHECK(state.endpoints.size() == 1);
    applyEvents(state, CatalogKind::Endpoints, R"({"deleted":true,"object":)" + endpointText("i-1", unreadableAddress) + "}", {}, start);
    CHECK(state.endpoints.size() == 0);
}

TEST_CASE("A roll-out that turns unreadable keeps the order that was understood until it is removed", "[catalog]")
{
    // Guards against a roll-out that ends without a verdict: an object that was not understood counted as the order's removal.
    EntryState state {EntrySettings()};
    applyEvents(state, CatalogKind::Rollouts, R"({"object":)" + rolloutText(R"("v2")") + "}", {}, start);
    REQUIRE(state.versions.rollouts().contains("pool"));
    for (const std::string target : {"7", "\"\xff\"", "null"}) {
        applyEvents(state, CatalogKind::Rollouts, R"({"object":)" + rolloutText(target) + "}", {}, start);
        REQUIRE(state.versions.rollouts().contains("pool"));
        CHECK(state.versions.rollouts().at("pool").order.target == "v2");
    }
    applyEvents(state, CatalogKind::Rollouts, R"({"deleted":true,"object":)" + rolloutText("7") + "}", {}, start);
    CHECK_FALSE(state.versions.rollouts().contains("pool"));
}

TEST_CASE("An entry of an evacuation that is not understood changes nothing, and one of an unknown failure domain is kept", "[catalog]")
{
    // Guards against EVAC: an entry that was overwritten ended the evacuation, or one of another writer hid the others.
    EntryState state {EntrySettings()};
    const auto text = [](const std::string &name, const std::string &spec) {
        return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" + spec + "}";
    };
    const auto events = [&](const std::string &items) { applyEvents(state, CatalogKind::Evacuations, items, {}, start); };
    const std::set<std::string> known {"a", "nowhere"};
    events(R"({"object":)" + text("a", "{}") + R"(},{"object":)" + text("nowhere", "{}") + "}");
    CHECK(state.failureDomains.evacuated == known);
    for (const std::string spec : {"7", "null", "[]", "\"x\"", "\"\xff\"", "{\"a\":1,\"a\":2}"}) {
        INFO(spec);
        events(R"({"object":)" + text("a", spec) + R"(},{"object":)" + text("b", spec) + "}");
        CHECK(state.failureDomains.evacuated == known);
    }
    events(R"({"object":)" + text("", "{}") + R"(},7,{"object":{"metadata":{"name":"b"}}})");
    CHECK(state.failureDomains.evacuated == known);
    CHECK(state.ignoredItems.counts().at({"evacuations", "missing_field"}) == 1);
    CHECK(state.ignoredItems.counts().at({"evacuations", "duplicate_field"}) == 2);
    applyEvacuationList(state, listPage(CatalogKind::Evacuations, text("a", "7") + "," + text("b", "{}") + "," + text("c", "7")), start);
    CHECK(state.failureDomains.evacuated == std::set<std::string> {"a", "b"});
    CHECK(state.evacuationsKnown);
    events(R"({"deleted":true,"object":)" + text("a", "7") + "}");
    CHECK(state.failureDomains.evacuated == std::set<std::string> {"b"});
}

TEST_CASE("A follower understands the same entries of a relayed page as its hub", "[catalog]")
{
    // Guards against requests to endpoints that no entry names (ROUTE): the hub's frame replaced unreadable bytes by a readable character.
    for (const std::string odd : {"a\xff", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82", R"(\ud800)", "\x01", "\u00e9", "\U0001f9ff"}) {
        INFO(odd);
        std::string entry = endpointText("i-2", "10.0.0.2:80");
        entry.replace(entry.find(R"("a")"), 3, '"' + odd + '"');
        const std::string body = R"({"events":[{"object":)" + endpointText("i-1", "10.0.0.1:80") + R"(},{"object":)" + entry + R"(}],"at":8})";
        const RelayFrame frame {RelayFrame::Type::Page, CatalogKind::Endpoints, {7, 8, body}};
        const auto relayed = decodeRelayFrame(encodeRelayFrame(frame));
        REQUIRE(relayed);
        const auto atHub = Platform::decodeEvents(CatalogKind::Endpoints, body);
        const auto atFollower = Platform::decodeEvents(CatalogKind::Endpoints, relayed->page.body);
        REQUIRE(atHub);
        REQUIRE(atFollower);
        REQUIRE(atFollower.value().changes.size() == 2);
        for (std::size_t i = 0; i < 2; ++i) {
            CHECK(atFollower.value().changes[i].object == atHub.value().changes[i].object);
            CHECK(atFollower.value().changes[i].fault == atHub.value().changes[i].fault);
            CHECK(atFollower.value().changes[i].name == atHub.value().changes[i].name);
        }
    }
}

TEST_CASE("Items that are not understood are counted one by one and logged once in a while", "[catalog]")
{
    IgnoredItems items;
    int logged = 0;
    for (int i = 0; i < 1000; ++i) {
        logged += items.record("endpoints", i % 2 == 0 ? ItemFault::Unreadable : ItemFault::MissingField, 1, start + i * 10ms) ? 1 : 0;
    }
    CHECK(logged == 10);
    CHECK(items.counts().at({"endpoints", "unreadable"}) == 500);
    CHECK(items.counts().at({"endpoints", "missing_field"}) == 500);
    CHECK(items.takeUnlogged() == 990);
    CHECK(items.takeUnlogged() == 0);
}
