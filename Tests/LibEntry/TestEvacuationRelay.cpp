#include "EvacuationFixture.h"
#include "LibHttp/ServerSentEvents.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
std::string heartbeat(CatalogKind kind, CatalogRevision revision, Duration storeAnswerAge)
{
    RelayFrame frame;
    frame.kind = kind;
    frame.revision = revision;
    frame.storeAnswerAge = storeAnswerAge;
    return formatServerSentEvent(encodeRelayFrame(frame));
}

/// A hub that sends heartbeats with the age that `age` returns, for the first `kinds` kinds and the revision of the follower's first list.
HttpHandler heartbeats(std::function<Duration()> age, int kinds = 4)
{
    return [age, kinds](HttpExchange &exchange) -> Asio::awaitable<void> {
        bool isOpen = co_await exchange.startStream(200, HttpHeaders());
        while (isOpen) {
            std::string output;
            for (int kind = 0; kind < kinds; ++kind) {
                output += heartbeat(static_cast<CatalogKind>(kind), 5, age());
            }
            isOpen = co_await exchange.writeChunk(std::move(output));
            co_await pause(100ms);
        }
    };
}

Asio::awaitable<void> noHub(HttpExchange &exchange)
{
    exchange.abort();
    co_return;
}
} // namespace

TEST_CASE("An instance without the setting makes no store call for evacuations and asks no hub for them", "[evacuation]")
{
    // Guards against costs for the other deployments.
    std::string asked;
    EvacuationFixture fixture(
        [&asked](HttpExchange &exchange) -> Asio::awaitable<void> {
            asked = exchange.request().target;
            co_await heartbeats([] { return Duration::zero(); })(exchange);
        },
        EntrySettings());
    fixture.store.evacuate("a");
    fixture.run(1s);
    CHECK(fixture.instance.state.hasLoadedCatalog());
    CHECK(asked.find("endpoints=") != std::string::npos);
    CHECK(asked.find("evacuations") == std::string::npos);
    CHECK(fixture.store.evacuationCalls == 0);
    CHECK(fixture.instance.evacuated().empty());
}

TEST_CASE("An instance is not ready before it knows the evacuations", "[evacuation]")
{
    // Guards against EVAC by an instance that has just started.
    EvacuationFixture fixture(noHub);
    fixture.hasHub = false;
    fixture.store.evacuate("a");
    fixture.store.isListHeld = true;
    fixture.run(500ms);
    CHECK(fixture.instance.state.routes);
    CHECK(fixture.instance.state.endpointsKnown);
    CHECK_FALSE(fixture.instance.state.hasLoadedCatalog());
    CHECK_FALSE(fixture.instance.state.isReady(monotonicNow()));
    fixture.store.isListHeld = false;
    fixture.run(100ms);
    CHECK(fixture.instance.state.hasLoadedCatalog());
    CHECK(fixture.instance.evacuated() == Names {"a"});
}

TEST_CASE("Evacuations that the store reports begin and end at once", "[evacuation]")
{
    EvacuationFixture fixture(noHub);
    fixture.hasHub = false;
    fixture.run(200ms);
    fixture.store.evacuate("a");
    CHECK(fixture.timeUntil({"a"}) < 500ms);
    fixture.store.evacuate("nowhere");
    CHECK(fixture.timeUntil({"a", "nowhere"}) < 1s);
    fixture.store.end("a");
    CHECK(fixture.timeUntil({"nowhere"}) < 1s);
}

TEST_CASE("The list that follows lost history replaces the evacuations", "[evacuation]")
{
    // Guards against a domain that stays evacuated for good, or an evacuation that is missed, since its change was lost with the history.
    EvacuationFixture fixture(noHub);
    fixture.hasHub = false;
    fixture.store.evacuate("a");
    fixture.store.evacuate("b");
    fixture.run(200ms);
    REQUIRE(fixture.instance.evacuated() == Names {"a", "b"});
    fixture.store.end("a");
    fixture.store.evacuate("c");
    fixture.store.put("b", EvacuationStore::objectText("b", 9, "7"));
    fixture.store.loseHistory();
    // The entry of b is no longer understood, which changes nothing.
    CHECK(fixture.timeUntil({"b", "c"}) < evacuationLimit);
    CHECK(fixture.store.evacuationLists == 2);
}

TEST_CASE("A hub relays evacuations and its follower calls the store for none", "[evacuation]")
{
    EvacuationFixture hubFixture(noHub);
    hubFixture.hasHub = false;
    RelayedInstance follower(
        hubFixture.context, hubFixture.client, hubFixture.store.address(), settingsWithEvacuations(), [&] { return hubFixture.instance.relayAddress(); });
    hubFixture.run(600ms);
    const int before = hubFixture.store.evacuationCalls;
    for (int i = 0; i < 3; ++i) {
        hubFixture.store.evacuate("a");
        hubFixture.run(400ms);
        CHECK(follower.evacuated() == Names {"a"});
        hubFixture.store.end("a");
        hubFixture.run(400ms);
        CHECK(follower.evacuated().empty());
    }
    CHECK(follower.lostHubs == 0);
    CHECK(follower.state.ignoredItems.counts().empty());
    // The hub's own watches: one for each change, and one for each third of the limit.
    CHECK(hubFixture.store.evacuationCalls - before <= 12);
}

TEST_CASE("A hub that has lost the store does not delay an evacuation beyond the limit", "[evacuation]")
{
    // Guards against EVAC: the hub is alive, and its answers of the store grow old.
    const MonotonicTime start = monotonicNow();
    MonotonicTime lastAnswer = start;
    EvacuationFixture fixture(heartbeats([&lastAnswer] { return monotonicNow() - lastAnswer; }));
    fixture.run(500ms);
    lastAnswer = monotonicNow();
    fixture.run(120ms);
    fixture.store.evacuate("a");
    CHECK(fixture.timeUntil({"a"}) < evacuationLimit);
}

TEST_CASE("A hub of a release without evacuations does not keep them from its followers", "[evacuation]")
{
    // Guards against EVAC during an upgrade.
    EvacuationFixture fixture(heartbeats([] { return Duration::zero(); }, 3));
    fixture.run(700ms);
    fixture.store.evacuate("a");
    CHECK(fixture.timeUntil({"a"}) < evacuationLimit);
    CHECK(fixture.instance.lostHubs == 0);
}

TEST_CASE("A hub that is cut, frozen or restarted does not delay an evacuation beyond the limit", "[evacuation]")
{
    // Guards against EVAC: the hub stops while the evacuation is written, and its follower learns of it in another way in time.
    enum class Fault { Cut, Frozen, Restarted, Flapping };
    const Fault fault = GENERATE(Fault::Cut, Fault::Frozen, Fault::Restarted, Fault::Flapping);
    CAPTURE(static_cast<int>(fault));
    bool isFaulty = false;
    MonotonicTime lastAnswer;
    EvacuationFixture fixture([&](HttpExchange &exchange) -> Asio::awaitable<void> {
        if (isFaulty && fault == Fault::Cut) {
            exchange.abort();
            co_return;
        }
        bool isOpen = co_await exchange.startStream(200, HttpHeaders());
        const MonotonicTime opened = monotonicNow();
        while (isOpen) {
            if (isFaulty && fault == Fault::Frozen) {
                co_await pause(10s);
            }
            if (isFaulty && (fault == Fault::Cut || (fault == Fault::Flapping && monotonicNow() - opened > 150ms))) {
                exchange.abort();
                co_return;
            }
            // A restarted hub knows nothing before its own first answer of the store, and sends nothing until then.
            std::string output;
            for (int kind = 0; kind < 4 && !(isFaulty && fault == Fault::Restarted); ++kind) {
                // A hub that flaps has not read the store since the fault began, or it would relay the evacuation.
                output += heartbeat(static_cast<CatalogKind>(kind), 5, isFaulty ? monotonicNow() - lastAnswer : Duration::zero());
            }
            if (!output.empty()) {
                isOpen = co_await exchange.writeChunk(std::move(output));
            }
            co_await pause(50ms);
        }
    });
    fixture.run(600ms);
    isFaulty = true;
    lastAnswer = monotonicNow();
    fixture.store.evacuate("a");
    CHECK(fixture.timeUntil({"a"}) < evacuationLimit);
}

TEST_CASE("Changes that a hub withholds are read from the store", "[evacuation]")
{
    EvacuationFixture fixture([](HttpExchange &exchange) -> Asio::awaitable<void> {
        bool isOpen = co_await exchange.startStream(200, HttpHeaders());
        co_await pause(500ms);
        std::string withheld = formatServerSentEvent(encodeRelayFrame({RelayFrame::Type::Withheld, CatalogKind::Evacuations, {}}));
        co_await exchange.writeChunk(std::move(withheld));
        while (isOpen) {
            co_await pause(100ms);
            std::string output = heartbeat(CatalogKind::Endpoints, 5, Duration::zero());
            isOpen = co_await exchange.writeChunk(std::move(output));
        }
    });
    fixture.run(400ms);
    fixture.store.evacuate("a");
    CHECK(fixture.timeUntil({"a"}) < 700ms);
}
