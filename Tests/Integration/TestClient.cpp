#include "TestClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

namespace Godwitfork
{

HttpOutcome<HttpResponse> callOnce(const HttpAddress &address, HttpRequest request, Duration timeout)
{
    boost::asio::io_context context;
    HttpClient client(context);
    HttpCallOptions options;
    options.responseTimeout = timeout;
    options.idleTimeout = timeout;
    std::optional<HttpOutcome<HttpResponse>> result;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            auto outcome = co_await client.call(address, std::move(request), options);
            result.emplace(std::move(outcome));
        },
        boost::asio::detached);
    context.run();
    return std::move(*result);
}

nlohmann::json readJson(const HttpAddress &address, const std::string &target)
{
    const auto response = callOnce(address, makeRequest("GET", target));
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
    return nlohmann::json::parse(response.value().body);
}

void putJson(const HttpAddress &address, const std::string &target, const nlohmann::json &body)
{
    const auto response = callOnce(address, makeRequest("PUT", target, body.dump()));
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
}

bool waitUntil(const std::function<bool()> &condition, Duration limit)
{
    const MonotonicTime deadline = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace Godwitfork
