#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using boost::asio::awaitable;

namespace
{
/// Answers with a complete stream of one event and records the priority that the router sent.
EntryFixture::EndpointScript recordPriority(std::string *priority)
{
    return [=](HttpExchange &exchange) -> awaitable<void> {
        *priority = headerValue(exchange.request().headers, "X-Request-Priority");
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        co_await exchange.writeChunk("id: 1\ndata: x\n\n");
        co_await exchange.finishStream();
    };
}

Route routeWithModels(int priority)
{
    Route route = makeRoute(RepeatRule::ResumableStream, 1);
    route.models = {"small", "large"};
    route.priority = priority;
    return route;
}
} // namespace

// Guards against urgent short requests that wait in an engine behind the long prompts of less urgent ones, and against a priority that
// the caller sets itself.
TEST_CASE("Engines are told the route's priority where the settings ask for it", "[run]")
{
    EntryFixture entry;
    entry.setRoute(routeWithModels(2));
    std::string priority;
    entry.addEndpoint("e1", recordPriority(&priority));
    HttpHeaders headers = callerHeaders("id1");
    headers.push_back({"X-Request-Priority", "0"});
    CHECK(entry.send(headers).status == 200);
    CHECK(priority.empty());
    entry.state.settings.sendsPriorities = true;
    headers[1].value = "id2";
    CHECK(entry.send(headers).status == 200);
    CHECK(priority == "2");
}

TEST_CASE("The account's priority goes before the route's", "[run]")
{
    const Route route = routeWithModels(2);
    ClientAccount account;
    CHECK(requestPriority(route, nullptr) == 2);
    CHECK(requestPriority(route, &account) == 2);
    account.priority = 1;
    CHECK(requestPriority(route, &account) == 1);
}
