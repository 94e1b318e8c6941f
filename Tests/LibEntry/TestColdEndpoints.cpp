#include "EntryFixture.h"
#include "LibEntry/CatalogChanges.h"
#include "LibEntry/ColdEndpoints.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{
EntryFixture::EndpointScript answerOf(int status, int *count)
{
    return [=](HttpExchange &exchange) -> awaitable<void> {
        ++*count;
        HttpResponse response;
        response.status = status;
        response.headers = validAnswerHeaders(exchange);
        if (status == 503) {
            response.headers.push_back({"X-Not-Executed", "1"});
        }
        response.body = "answer";
        co_await exchange.respond(std::move(response));
    };
}

/// Makes the fixture's service one whose cold endpoints have a bound.
void setColdService(EntryFixture &entry, double requestsPerSecond, int attemptLimit = 3)
{
    ServiceProperties service;
    service.name = "pool";
    service.coldTime = 3s;
    service.coldRequestsPerSecond = requestsPerSecond;
    entry.state.settings.coldOverage = 1.5;
    entry.state.settings.coldTolerance = 5;
    entry.state.routes =
        std::make_shared<const RouteTable>(RouteConfigurationBuilder(1).addRoute(makeRoute(RepeatRule::Idempotent, attemptLimit)).addService(service).build());
}

/// Applies a registration of an endpoint that the fixture knows, as the store would list it.
void renew(EntryState &state, const std::string &id, Duration coldRemaining, std::int64_t sequence, MonotonicTime now)
{
    EndpointEntry entry = *state.endpoints.find(id);
    entry.coldRemaining = coldRemaining;
    entry.sequence = sequence;
    CatalogChange change;
    change.name = id;
    change.object = entry;
    applyCatalogChange(state, CatalogKind::Endpoints, change, {}, now);
}

int servedOf(EntryFixture &entry, int requests, HttpResponse &lastRefusal)
{
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const HttpResponse answer = entry.send(callerHeaders("id" + std::to_string(i)));
        if (answer.status == 200) {
            ++served;
        } else {
            lastRefusal = answer;
        }
    }
    return served;
}
} // namespace

TEST_CASE("A cold endpoint gets no more than the share of this instance, and the others are refused as not run with a time at which there is room", "[cold]")
{
    // Guards against FAILBACK, and against a refusal after which the caller is refused again.
    EntryFixture entry;
    setColdService(entry, 5.2);
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 60s, 1, now);
    updateColdEndpoints(entry.state, {}, now);
    CHECK(countColdEndpoints(entry.state, now) == 1);
    HttpResponse refused;
    CHECK(servedOf(entry, 12, refused) == 5);
    CHECK(count == 5);
    // Status 503 says that the request has not run.
    CHECK(refused.status == 503);
    const Duration room = entry.state.coldStarts.timeToRequest("e1", coldRule(entry.state.settings, entry.state.routes->findService("pool")), monotonicNow());
    const double retryAfter = std::stod(headerValue(refused.headers, "Retry-After"));
    CHECK(retryAfter >= std::chrono::duration<double>(room).count());
    CHECK(retryAfter < 3);
}

TEST_CASE("A service that states no rate is served as before while its endpoints are cold", "[cold]")
{
    EntryFixture entry;
    setColdService(entry, 0);
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    renew(entry.state, "e1", 60s, 1, monotonicNow());
    updateColdEndpoints(entry.state, {}, monotonicNow());
    HttpResponse refused;
    CHECK(servedOf(entry, 20, refused) == 20);
    CHECK(countColdEndpoints(entry.state, monotonicNow()) == 0);
}

TEST_CASE("Retries use the share of a cold endpoint too", "[cold]")
{
    // Guards against FAILBACK: requests that another endpoint refused would go to the cold one beside its share.
    EntryFixture entry;
    setColdService(entry, 5.2);
    int cold = 0;
    int warm = 0;
    entry.addEndpoint("e1", answerOf(200, &cold));
    entry.addEndpoint("e2", answerOf(503, &warm));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 60s, 1, now);
    updateColdEndpoints(entry.state, {}, now);
    HttpResponse refused;
    servedOf(entry, 15, refused);
    CHECK(cold == 5);
    CHECK(warm >= 10);
}

TEST_CASE("An endpoint that refuses connections is suspect until it has answered for the cold time", "[cold]")
{
    // Guards against FAILBACK: an endpoint that crashed comes back cold while its old entry is still listed as warm.
    EntryFixture entry;
    setColdService(entry, 5.2);
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    const HttpAddress address = entry.state.endpoints.find("e1")->address;
    EndpointEntry down = *entry.state.endpoints.find("e1");
    // Nothing listens on the port that is reserved for discarded bytes.
    down.address = {"127.0.0.1", 9};
    CatalogChange change;
    change.name = "e1";
    change.object = down;
    const MonotonicTime now = monotonicNow();
    applyCatalogChange(entry.state, CatalogKind::Endpoints, change, {}, now);
    updateColdEndpoints(entry.state, {}, now);
    CHECK(entry.send(callerHeaders("down")).status != 200);
    const ColdRule rule = coldRule(entry.state.settings, entry.state.routes->findService("pool"));
    CHECK(entry.state.coldStarts.phase("e1", rule, monotonicNow()) == ColdPhase::Suspect);
    down.address = address;
    change.object = down;
    applyCatalogChange(entry.state, CatalogKind::Endpoints, change, {}, now);
    CHECK(entry.send(callerHeaders("up")).status == 503);
    CHECK(count == 0);
}

TEST_CASE("An endpoint that is removed and registers again is judged by its new entry", "[cold]")
{
    EntryFixture entry;
    setColdService(entry, 5.2);
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 60s, 1, now);
    CHECK(countColdEndpoints(entry.state, now) == 1);
    EndpointEntry again = *entry.state.endpoints.find("e1");
    CatalogChange removal;
    removal.name = "e1";
    applyCatalogChange(entry.state, CatalogKind::Endpoints, removal, {}, now);
    again.coldRemaining = 0s;
    CatalogChange change;
    change.name = "e1";
    change.object = again;
    applyCatalogChange(entry.state, CatalogKind::Endpoints, change, {}, now);
    CHECK(countColdEndpoints(entry.state, now) == 0);
    HttpResponse refused;
    CHECK(servedOf(entry, 10, refused) == 10);
}

TEST_CASE("An instance whose settings name others that it has not reached sends a cold endpoint nothing", "[cold]")
{
    // Guards against FAILBACK: isolated instances would each take the whole share.
    EntryFixture entry;
    setColdService(entry, 5.2);
    entry.state.settings.seeds = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 60s, 1, now);
    updateColdEndpoints(entry.state, {}, now);
    CHECK(entry.send(callerHeaders("id")).status == 503);
    CHECK(count == 0);
}

TEST_CASE("An endpoint whose silent attempt was cancelled is not suspect", "[cold]")
{
    // Guards against requests kept from an overloaded endpoint: closing the connection of a cancelled attempt was taken for its loss.
    EntryFixture entry;
    setColdService(entry, 5.2, 2);
    int count = 0;
    std::string silent;
    const auto scriptOf = [&](const std::string &id) {
        return [&, id](HttpExchange &exchange) -> awaitable<void> {
            if (count == 0) {
                silent = id;
                ++count;
                boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 5s);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            co_await answerOf(200, &count)(exchange);
        };
    };
    entry.addEndpoint("e1", scriptOf("e1"));
    entry.addEndpoint("e2", scriptOf("e2"));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 0s, 1, now);
    renew(entry.state, "e2", 0s, 1, now);
    updateColdEndpoints(entry.state, {}, now);
    CHECK(entry.send(callerHeaders("id")).status == 200);
    CHECK(count == 2);
    REQUIRE_FALSE(silent.empty());
    const ColdRule rule = coldRule(entry.state.settings, entry.state.routes->findService("pool"));
    CHECK(entry.state.coldStarts.phase(silent, rule, monotonicNow()) == ColdPhase::Warm);
}

TEST_CASE("An instance without a share refuses with a time after which the caller may reach one that has", "[cold]")
{
    // Guards against a Retry-After of the whole cold time while other instances have room in each window.
    EntryFixture entry;
    setColdService(entry, 5.2);
    entry.state.settings.seeds = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    int count = 0;
    entry.addEndpoint("e1", answerOf(200, &count));
    const MonotonicTime now = monotonicNow();
    renew(entry.state, "e1", 60s, 1, now);
    updateColdEndpoints(entry.state, {}, now);
    const HttpResponse refused = entry.send(callerHeaders("id"));
    CHECK(refused.status == 503);
    const double retryAfter = std::stod(headerValue(refused.headers, "Retry-After"));
    // A window, and the spread of up to 1.2 s.
    CHECK(retryAfter >= 1.25);
    CHECK(retryAfter <= 2.45);
}
