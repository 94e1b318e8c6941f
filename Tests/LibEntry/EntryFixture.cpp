#include "EntryFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
EntrySettings testSettings()
{
    EntrySettings settings;
    settings.instance = "entry-1";
    settings.failureDomain = "a";
    settings.retryRatio = 1;
    return settings;
}

HttpResponse refusal(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

const HttpAddress anyPort {"127.0.0.1", 0};
} // namespace

EntryFixture::EntryFixture()
    : state(testSettings())
    , context(1)
    , routerClient(this->context)
    , callerClient(this->context)
    , requestContext {this->context, this->state, this->routerClient, this->metrics}
    , router(
          this->context,
          anyPort,
          {},
          [this](HttpExchange &exchange) { return this->serve(exchange); },
          refusal)
{
    this->router.start();
    this->state.setRetryAllowance(100);
    this->state.endpointsKnown = true;
    this->state.rolloutsKnown = true;
}

Asio::awaitable<void> EntryFixture::serve(HttpExchange &exchange)
{
    RequestRun run(this->requestContext, exchange);
    co_await run.run();
}

void EntryFixture::addEndpoint(const std::string &id, EndpointScript script)
{
    this->endpoints.push_back(std::make_unique<HttpServer>(this->context, anyPort, HttpServerLimits {}, std::move(script), refusal));
    this->endpoints.back()->start();
    EndpointEntry entry;
    entry.id = id;
    entry.service = "pool";
    entry.address = this->endpoints.back()->address();
    entry.failureDomain = "a";
    entry.version = "v1";
    entry.slots = 8;
    this->state.endpoints.put(entry, monotonicNow());
}

void EntryFixture::setRoute(Route route)
{
    ServiceProperties service;
    service.name = "pool";
    this->state.routes = std::make_shared<const RouteTable>(RouteConfigurationBuilder(1).addRoute(std::move(route)).addService(service).build());
}

HttpResponse EntryFixture::send(HttpHeaders headers)
{
    HttpResponse answer;
    answer.status = 0;
    bool isDone = false;
    const HttpAddress address = this->router.address();
    auto call = [&]() -> Asio::awaitable<void> {
        auto result = co_await this->callerClient.call(address, makeRequest("POST", "/a/b", "body", headers), {});
        if (result) {
            answer = std::move(result).value();
        }
        isDone = true;
    };
    Asio::co_spawn(this->context, std::move(call), Asio::detached);
    while (!isDone) {
        this->context.run_one();
    }
    return answer;
}

Route makeRoute(RepeatRule rule, int attemptLimit)
{
    Route route;
    route.name = "r";
    route.host = "h.example";
    route.leadingPath = "/";
    route.repeatRule = rule;
    route.attemptLimit = attemptLimit;
    route.services = {{"pool", 1}};
    return route;
}

HttpHeaders validAnswerHeaders(const HttpExchange &exchange)
{
    return {{"X-Attempt-Id", headerValue(exchange.request().headers, "X-Attempt-Id")}, {"X-Response-Signature", "signed"}};
}

HttpHeaders callerHeaders(const std::string &id)
{
    return {{"Host", "h.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "3000"}};
}

} // namespace Godwitfork
