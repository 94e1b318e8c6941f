#include "LibEntry/CatalogRelay.h"
#include "LibHttp/ServerSentEvents.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
using Names = std::set<std::string>;

const HttpAddress anyPort {"127.0.0.1", 0};
/// Time within which an evacuation must be in force.
constexpr Duration evacuationLimit = 2s;
constexpr Duration storeStep = 10ms;

HttpResponse refusal(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

EntrySettings settingsWithEvacuations()
{
    EntrySettings settings;
    settings.evacuationLimit = evacuationLimit;
    return settings;
}

Asio::awaitable<void> pause(Duration duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor, duration);
    co_await timer.async_wait(Asio::use_awaitable);
}

/// Store with a configuration and evacuations; the lists of the other kinds are empty.
class EvacuationStore
{
public:
    explicit EvacuationStore(Asio::io_context &context)
        : server(
            context,
            anyPort,
            {},
            [this](HttpExchange &exchange) { return this->serve(exchange); },
            refusal)
    {
        this->server.start();
    }

    HttpAddress address() const
    {
        return this->server.address();
    }

    void evacuate(const std::string &domain)
    {
        this->put(domain, objectText(domain, this->revision + 1, "{}"));
    }

    void put(const std::string &domain, const std::string &object)
    {
        ++this->revision;
        this->objects[domain] = object;
        this->events.push_back({this->revision, R"({"deleted":false,"object":)" + object + "}"});
    }

    void end(const std::string &domain)
    {
        ++this->revision;
        this->objects.erase(domain);
        this->events.push_back({this->revision, R"({"deleted":true,"object":)" + objectText(domain, this->revision, "{}") + "}"});
    }

    /// Forgets the changes so far without telling anyone; watches from before are answered 410.
    void loseHistory()
    {
        ++this->revision;
        this->oldest = this->revision;
        this->events.clear();
    }

    static std::string objectText(const std::string &domain, CatalogRevision revision, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + domain + R"(","revision":)" + std::to_string(revision) + R"(},"spec":)" + spec + "}";
    }

    std::string eventsAfter(CatalogRevision after) const
    {
        std::string text;
        for (const auto &[revision, event] : this->events) {
            text += revision > after ? (text.empty() ? "" : ",") + event : "";
        }
        return R"({"events":[)" + text + R"(],"at":)" + std::to_string(this->revision) + "}";
    }

    CatalogRevision revision = 5;
    std::map<std::string, std::string> objects;
    /// Whether lists of evacuations are accepted without an answer.
    bool isListHeld = false;
    int evacuationCalls = 0;
    int evacuationLists = 0;

private:
    Asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const std::string &target = exchange.request().target;
        const bool isEvacuations = target.starts_with("/objects/evacuations");
        this->evacuationCalls += isEvacuations ? 1 : 0;
        const std::string wait = queryValue(target, "waitMs");
        if (wait.empty()) {
            co_await this->serveList(exchange, isEvacuations);
            co_return;
        }
        const CatalogRevision after = std::stoull(queryValue(target, "watch"));
        const MonotonicTime latest = monotonicNow() + std::chrono::milliseconds(std::stoi(wait));
        const auto hasNews = [&] { return isEvacuations && !this->events.empty() && this->events.back().first > after; };
        while (monotonicNow() < latest && !hasNews() && after >= this->oldest) {
            co_await pause(storeStep);
        }
        if (after < this->oldest) {
            HttpResponse response = jsonResponse(410, "{}");
            co_await exchange.respond(std::move(response));
            co_return;
        }
        // The list of events has none of the other kinds.
        HttpResponse response = jsonResponse(200, this->eventsAfter(isEvacuations ? after : this->revision));
        co_await exchange.respond(std::move(response));
    }

    Asio::awaitable<void> serveList(HttpExchange &exchange, bool isEvacuations)
    {
        std::string entries;
        if (isEvacuations) {
            ++this->evacuationLists;
            while (this->isListHeld) {
                co_await pause(storeStep);
            }
            for (const auto &[name, object] : this->objects) {
                entries += (entries.empty() ? "" : ",") + object;
            }
        } else if (exchange.request().target.starts_with("/objects/config")) {
            entries = R"({"metadata":{"name":"main","revision":2},"spec":{"version":1,"routes":[]}})";
        }
        HttpResponse response = jsonResponse(200, R"({"entries":[)" + entries + R"(],"hasMore":false,"at":)" + std::to_string(this->revision) + "}");
        co_await exchange.respond(std::move(response));
    }

    HttpServer server;
    CatalogRevision oldest = 0;
    std::vector<std::pair<CatalogRevision, std::string>> events;
};

/// Followers of the store and the relay of one instance.
class Instance
{
public:
    Instance(Asio::io_context &context, HttpClient &client, HttpAddress store, EntrySettings settings, std::function<std::optional<HttpAddress>()> chooseHub)
        : state(std::move(settings))
        , catalog(client, std::move(store), Duration(1500ms))
        , ownRelay(
              context,
              anyPort,
              {},
              [this](HttpExchange &exchange) { return this->relay->serve(exchange); },
              refusal)
    {
        std::vector<CatalogFollower *> relayed;
        for (const CatalogKind kind : this->state.followedKinds()) {
            this->followers.push_back(std::make_unique<CatalogFollower>(context, this->catalog, this->state, kind));
            relayed.push_back(this->followers.back().get());
            Asio::co_spawn(
                context, [follower = relayed.back()] { return follower->run(); }, Asio::detached);
        }
        this->relay = std::make_unique<CatalogRelay>(context, client, relayed, std::move(chooseHub), [this](const HttpAddress &) { ++this->lostHubs; });
        Asio::co_spawn(
            context, [this] { return this->relay->run(); }, Asio::detached);
        this->ownRelay.start();
    }

    HttpAddress relayAddress() const
    {
        return this->ownRelay.address();
    }

    const Names &evacuated() const
    {
        return this->state.failureDomains.evacuated;
    }

    EntryState state;
    int lostHubs = 0;

private:
    Platform::CatalogClient catalog;
    HttpServer ownRelay;
    std::vector<std::unique_ptr<CatalogFollower>> followers;
    std::unique_ptr<CatalogRelay> relay;
};

/// A store and an instance that follows a scripted hub.
class EvacuationFixture
{
public:
    explicit EvacuationFixture(HttpHandler hubScript, EntrySettings settings = settingsWithEvacuations())
        : client(this->context)
        , store(this->context)
        , hub(this->context, anyPort, {}, std::move(hubScript), refusal)
        , instance(this->context, this->client, this->store.address(), std::move(settings), [this] {
            return this->hasHub ? std::optional(this->hub.address()) : std::nullopt;
        })
    {
        this->hub.start();
    }

    void run(Duration time)
    {
        this->context.run_for(time);
    }

    /// Returns the time until the instance's evacuated failure domains are the given ones, or `limit` if that takes longer.
    Duration timeUntil(const Names &domains, Duration limit = 2 * evacuationLimit)
    {
        const MonotonicTime start = monotonicNow();
        while (this->instance.evacuated() != domains && monotonicNow() - start < limit) {
            this->run(storeStep);
        }
        return monotonicNow() - start;
    }

    Asio::io_context context;
    HttpClient client;
    EvacuationStore store;
    HttpServer hub;
    bool hasHub = true;
    Instance instance;
};

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
    Instance follower(
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
