#include "LibEntry/CatalogRelay.h"
#include "LibHttp/ServerSentEvents.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
const HttpAddress anyPort {"127.0.0.1", 0};

HttpResponse refusal(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

/// An instance that follows a scripted hub, beside a store whose lists are empty.
class RelayFixture
{
public:
    explicit RelayFixture(HttpHandler hubScript)
        : client(this->context)
        , store(
              this->context,
              anyPort,
              {},
              [this](HttpExchange &exchange) { return this->serveStore(exchange); },
              refusal)
        , hub(this->context, anyPort, {}, std::move(hubScript), refusal)
        , state(EntrySettings())
    {
        this->store.start();
        this->hub.start();
        this->catalog = std::make_unique<Platform::CatalogClient>(this->client, this->store.address(), Duration(1s));
        std::vector<CatalogFollower *> relayed;
        for (const CatalogKind kind : {CatalogKind::Configuration, CatalogKind::Endpoints, CatalogKind::Rollouts}) {
            this->followers.push_back(std::make_unique<CatalogFollower>(this->context, *this->catalog, this->state, kind));
            relayed.push_back(this->followers.back().get());
            Asio::co_spawn(
                this->context, [follower = relayed.back()] { return follower->run(); }, Asio::detached);
        }
        this->relay = std::make_unique<CatalogRelay>(
            this->context,
            this->client,
            relayed,
            [this] { return std::optional(this->hub.address()); },
            [this](CatalogKind kind) { return kind != CatalogKind::Configuration || this->relaysConfiguration; },
            [this](const HttpAddress &) { ++this->lostHubs; });
        Asio::co_spawn(
            this->context, [this] { return this->relay->run(); }, Asio::detached);
    }

    void run(Duration time)
    {
        this->context.run_for(time);
    }

    bool relaysConfiguration = false;
    int lostHubs = 0;

private:
    Asio::awaitable<void> serveStore(HttpExchange &exchange)
    {
        if (exchange.request().target.find("watch=") != std::string::npos) {
            Asio::steady_timer timer(this->context, 500ms);
            co_await timer.async_wait(Asio::use_awaitable);
            co_await exchange.respond(jsonResponse(200, R"({"events":[],"at":5})"));
            co_return;
        }
        co_await exchange.respond(jsonResponse(200, R"({"entries":[],"hasMore":false,"at":5})"));
    }

    Asio::io_context context;
    HttpClient client;
    HttpServer store;
    HttpServer hub;
    EntryState state;
    std::unique_ptr<Platform::CatalogClient> catalog;
    std::vector<std::unique_ptr<CatalogFollower>> followers;
    std::unique_ptr<CatalogRelay> relay;
};

/// Sends heartbeats until the follower leaves, and records what each follower asks for.
HttpHandler heartbeats(std::vector<std::string> &targets)
{
    return [&targets](HttpExchange &exchange) -> Asio::awaitable<void> {
        targets.push_back(exchange.request().target);
        bool isOpen = co_await exchange.startStream(200, HttpHeaders());
        Asio::steady_timer timer(co_await Asio::this_coro::executor);
        while (isOpen) {
            isOpen = co_await exchange.writeChunk(formatServerSentEvent(encodeRelayFrame(RelayFrame())));
            timer.expires_after(100ms);
            co_await timer.async_wait(Asio::use_awaitable);
        }
    };
}
} // namespace

TEST_CASE("A follower asks for the configuration as well once the fleet is large enough", "[relay]")
{
    // A fleet that starts is small at first. The followers kept their first stream, and each went on watching the configuration itself.
    std::vector<std::string> targets;
    RelayFixture fixture(heartbeats(targets));
    fixture.run(800ms);
    REQUIRE(targets.size() == 1);
    CHECK(targets.back().find("configuration=") == std::string::npos);
    fixture.relaysConfiguration = true;
    fixture.run(1s);
    REQUIRE(targets.size() == 2);
    CHECK(targets.back().find("configuration=") != std::string::npos);
    CHECK(fixture.lostHubs == 0);
}

TEST_CASE("A hub that sends nothing is left", "[relay]")
{
    // A frozen hub keeps its connections open.
    std::vector<std::string> targets;
    RelayFixture fixture([&targets](HttpExchange &exchange) -> Asio::awaitable<void> {
        targets.push_back(exchange.request().target);
        co_await exchange.startStream(200, HttpHeaders());
        Asio::steady_timer timer(co_await Asio::this_coro::executor, 10s);
        co_await timer.async_wait(Asio::use_awaitable);
    });
    fixture.run(2500ms);
    CHECK(fixture.lostHubs >= 1);
}
