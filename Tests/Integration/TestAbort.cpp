#include "Deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
/// Reads the first bytes of a streamed answer, then closes the connection.
void abortAfterFirstBytes(const HttpAddress &address, HttpRequest request)
{
    boost::asio::io_context context;
    HttpClient client(context);
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            auto stream = co_await client.open(address, std::move(request), HttpCallOptions());
            if (stream) {
                co_await stream.value()->readSome();
            }
        },
        boost::asio::detached);
    context.run();
}
} // namespace

// Guards against a caller that is billed for nothing or for the whole answer after it went away, and against an engine that goes
// on generating for nobody.
TEST_CASE("A caller that aborts pays for the tokens generated until then, once")
{
    constexpr int maxTokens = 2000;
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0"}, {"--token-us", "5000"});
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    HttpRequest request = deployment.chatRequest("blazon", "Or, a wolf passant", true);
    auto body = nlohmann::json::parse(request.body);
    body["max_tokens"] = maxTokens;
    request.body = body.dump();
    abortAfterFirstBytes(deployment.router(0), request);
    REQUIRE(waitUntil([&] { return deployment.billingRecords().size() == 1; }));
    const auto records = deployment.billingRecords();
    const auto &record = records.begin()->second;
    CHECK(record.at("outcome") == "aborted");
    const int billed = record.at("steps").at(0).at("completion_tokens").get<int>();
    CHECK(billed > 0);
    CHECK(billed < maxTokens);
    REQUIRE(waitUntil([&] { return deployment.executions().at(0).at("state") == "cancelled"; }));
    CHECK(deployment.executions().size() == 1);
}
