#include "LibEntry/ConfigurationFetcher.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
HttpResponse refusal(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

/// An instance with version 1 of the configuration that hears of version 2 from another one.
struct FetcherFixture {
    FetcherFixture()
        : client(context)
        , holder(
              context,
              {"127.0.0.1", 0},
              {},
              [this](HttpExchange &exchange) -> Asio::awaitable<void> {
                  ++this->fetches;
                  co_await exchange.respond(jsonResponse(503, "{}"));
              },
              refusal)
        , state(EntrySettings())
        , fetcher(context, client, state)
    {
        this->holder.start();
        this->state.routes = std::make_shared<const RouteTable>(RouteConfigurationBuilder(1).build());
    }

    /// Returns whether the configuration was requested from its holder within 200 ms after it was heard of.
    bool isFetchedAtOnce(Duration copyAge)
    {
        this->state.freshness[CatalogKind::Configuration].confirmedAt = monotonicNow() - copyAge;
        this->fetcher.fetchIfNewer(toText(this->holder.address()), 2);
        this->context.run_for(200ms);
        return this->fetches > 0;
    }

    Asio::io_context context;
    HttpClient client;
    HttpServer holder;
    EntryState state;
    ConfigurationFetcher fetcher;
    int fetches = 0;
};
} // namespace

TEST_CASE("An instance with an overdue copy fetches a newer configuration as soon as it hears of it", "[configuration]")
{
    // Guards against late configurations (CONFIG, day hunt-fa39-91): an instance that could not read the store gave its watch another 500 ms first.
    FetcherFixture fixture;
    CHECK(fixture.isFetchedAtOnce(10s));
}

TEST_CASE("An instance that follows the store leaves a newer configuration to its watch first", "[configuration]")
{
    FetcherFixture fixture;
    CHECK_FALSE(fixture.isFetchedAtOnce(100ms));
    fixture.context.run_for(500ms);
    CHECK(fixture.fetches == 1);
}
