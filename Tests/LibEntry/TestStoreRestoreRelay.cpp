#include "StoreFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
constexpr const char *keptKey = "Bearer key-a";
constexpr const char *revokedKey = "Bearer key-b";
constexpr Duration startTime = 500ms;

/// Sends frames of every kind with the given content again and again.
HttpHandler repeatFrames(RelayFrame frame)
{
    return [frame](HttpExchange &exchange) -> Asio::awaitable<void> {
        bool isOpen = co_await exchange.startStream(200, HttpHeaders());
        while (isOpen) {
            std::string output;
            for (const CatalogKind kind : {CatalogKind::Configuration, CatalogKind::Endpoints, CatalogKind::Rollouts}) {
                RelayFrame next = frame;
                next.kind = kind;
                output += formatServerSentEvent(encodeRelayFrame(next));
            }
            isOpen = co_await exchange.writeChunk(std::move(output));
            co_await pause(100ms);
        }
    };
}

RelayFrame heartbeat(CatalogPosition position)
{
    RelayFrame frame;
    frame.era = position.era;
    frame.revision = position.revision;
    return frame;
}

/// A store in its second era, an endpoint, and an entry that follows a scripted hub.
struct ScriptedHubFixture : StoreFixture {
    explicit ScriptedHubFixture(const RelayFrame &frame) : hub(this->context, HttpAddress {"127.0.0.1", 0}, {}, repeatFrames(frame), refuseConnection)
    {
        this->hub.start();
        this->store.copy();
        this->store.restore();
        this->configure(1, accountList({"a", "b"}));
        this->addEndpoint("e1");
    }

    HttpServer hub;
};
} // namespace

TEST_CASE("A hub passes on the changes after the store's return from a copy to a follower whose revision is higher", "[restore]")
{
    // Guards against CONFIG (review/12): the hub confirmed a follower's copy with the follower's own revision, which was of the former era.
    StoreFixture fixture;
    fixture.configure(1, accountList({"a", "b"}));
    fixture.addEndpoint("e1");
    ServingInstance &hub = fixture.addInstance();
    ServingInstance &follower = fixture.addInstance(hub.relayed.relayAddress());
    fixture.run(startTime);
    fixture.store.copy();
    for (int i = 0; i < 20; ++i) {
        fixture.registerEndpoint("e1");
    }
    fixture.run(startTime);
    // The hub goes on relaying, since its watches are answered.
    fixture.store.answersLate = true;
    fixture.store.restore();
    fixture.configure(2, accountList({"a"}));
    fixture.registerEndpoint("e1");
    fixture.run(changeLimit);
    CHECK(fixture.send(follower, revokedKey) == 401);
    CHECK(fixture.send(follower, keptKey) == 200);

    // The follower goes on with its hub.
    const int lists = fixture.store.lists["config"];
    const int watches = fixture.store.watches["config"];
    fixture.configure(3, accountList({"b"}));
    fixture.run(startTime);
    CHECK(fixture.send(follower, revokedKey) == 200);
    CHECK(fixture.send(follower, keptKey) == 401);
    CHECK(fixture.store.lists["config"] == lists);
    CHECK(fixture.store.watches["config"] <= watches + 2);
    CHECK(follower.relayed.lostHubs == 0);
}

TEST_CASE("A hub in the former era of the store confirms no copy of the new one", "[restore]")
{
    // Guards against CONFIG: two hubs may be in different eras, and a lower revision of the other era counted as confirmation.
    ScriptedHubFixture fixture(heartbeat({1, 5}));
    ServingInstance &instance = fixture.addInstance(fixture.hub.address());
    fixture.run(startTime);
    REQUIRE(fixture.send(instance, revokedKey) == 200);
    fixture.configure(2, accountList({"a"}));
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
}

TEST_CASE("A page of the former era is not applied to a copy of the new one", "[restore]")
{
    // Guards against requests that are refused since a hub relays the end of an endpoint in the former era.
    RelayFrame frame {
        RelayFrame::Type::Page, CatalogKind::Endpoints, {1, 1000, R"({"events":[{"deleted":true,"object":{"metadata":{"name":"e1"}}}],"at":1000})"}};
    frame.era = 1;
    ScriptedHubFixture fixture(frame);
    ServingInstance &instance = fixture.addInstance(fixture.hub.address());
    fixture.run(startTime);
    CHECK(fixture.send(instance, keptKey) == 200);
    fixture.configure(2, accountList({"a"}));
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, keptKey) == 200);
    CHECK(fixture.send(instance, revokedKey) == 401);
}

TEST_CASE("An era that a hub names and the store does not have causes one more list", "[restore]")
{
    ScriptedHubFixture fixture(heartbeat({7, 5}));
    ServingInstance &instance = fixture.addInstance(fixture.hub.address());
    fixture.run(changeLimit);
    CHECK(fixture.store.lists["config"] == 2);
    fixture.configure(2, accountList({"a"}));
    fixture.run(changeLimit);
    CHECK(fixture.send(instance, revokedKey) == 401);
}
