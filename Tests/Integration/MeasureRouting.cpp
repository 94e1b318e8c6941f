// Measurements of section 1.2 of the design, hidden from the ordinary run: TestIntegration "[measurement]".

#include "Deployment.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace Godwitfork;
namespace Asio = boost::asio;

namespace
{
constexpr int engines = 20;
constexpr int shortTokens = 20;
constexpr int longTokens = 50 * shortTokens;
/// Time in which estimates form; its requests are not counted for any policy.
constexpr Duration warmUp = std::chrono::seconds(3);

struct Load {
    double requestsPerSecond = 0;
    double longShare = 0;
    int slowEngines = 0;
    Duration length {};
    std::uint64_t seed = 1;
};

struct Measured {
    std::vector<Duration> times;
    int sent = 0;
    int failed = 0;
};

Asio::awaitable<void> sendOne(HttpClient &client, HttpAddress router, HttpRequest request, bool isCounted, Measured &measured)
{
    HttpCallOptions options;
    options.responseTimeout = std::chrono::seconds(60);
    options.idleTimeout = std::chrono::seconds(60);
    const MonotonicTime started = monotonicNow();
    const auto response = co_await client.call(router, std::move(request), options);
    if (!isCounted) {
        co_return;
    }
    ++measured.sent;
    if (!response || response.value().status != 200) {
        ++measured.failed;
        co_return;
    }
    measured.times.push_back(monotonicNow() - started);
}

/// Sends requests at random times that do not depend on the answers. The generator draws the same times and lengths for
/// every policy; without long jobs, their places stay empty.
Asio::awaitable<void> sendLoad(Asio::io_context &context, HttpClient &client, Deployment &deployment, Load load, bool sendsLong, Measured &measured)
{
    RandomSource random(load.seed);
    std::exponential_distribution<double> gap(load.requestsPerSecond);
    std::uniform_real_distribution<double> uniform(0, 1);
    const MonotonicTime started = monotonicNow();
    Asio::steady_timer timer(context);
    double at = 0;
    for (int number = 0; at < std::chrono::duration<double>(load.length).count(); ++number) {
        at += gap(random);
        const bool isLong = uniform(random) < load.longShare;
        timer.expires_at(started + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
        co_await timer.async_wait(Asio::use_awaitable);
        if (isLong && !sendsLong) {
            continue;
        }
        HttpRequest request = deployment.chatRequest("blazon", "Sable " + std::to_string(number));
        auto body = nlohmann::json::parse(request.body);
        body["max_tokens"] = isLong ? longTokens : shortTokens;
        request.body = body.dump();
        const bool isCounted = !isLong && monotonicNow() - started > warmUp;
        Asio::co_spawn(context, sendOne(client, deployment.router(0), std::move(request), isCounted, measured), Asio::detached);
    }
}

Measured runLoad(const std::string &policy, const Load &load, bool sendsLong, int slowEngines)
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    const std::vector<std::string> options {"--slots", "2", "--first-token-ms", "20", "--token-us", "5000", "--load-lag-ms", "2000"};
    for (int i = 0; i < engines; ++i) {
        const ChildProcess &engine = deployment.addEngine("engine-" + std::to_string(i), {"blazon:1.0"}, options);
        if (i < slowEngines) {
            REQUIRE(callOnce(engine.address(), makeRequest("POST", "/control", R"({"slowdown": 10})")));
        }
    }
    deployment.addRouter("router-1", "admission_control: off\nrouting_policy: " + policy + "\n");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    Asio::io_context context;
    HttpClient client(context);
    Measured measured;
    Asio::co_spawn(context, sendLoad(context, client, deployment, load, sendsLong, measured), Asio::detached);
    context.run();
    return measured;
}

double percentile(std::vector<Duration> times, double share)
{
    if (times.empty()) {
        return 0;
    }
    std::sort(times.begin(), times.end());
    const auto place = std::min(times.size() - 1, static_cast<std::size_t>(static_cast<double>(times.size()) * share));
    return static_cast<double>(times[place].count()) / 1000;
}

void printRow(const std::string &policy, std::uint64_t seed, const Measured &calm, const Measured &disturbed)
{
    const double calmTail = percentile(calm.times, 0.99);
    const double tail = percentile(disturbed.times, 0.99);
    std::cout << "| " << policy << " | " << seed << " | " << calmTail << " | " << tail << " | " << tail / calmTail << " | " << percentile(calm.times, 0.5)
              << " | " << percentile(disturbed.times, 0.5) << " | " << disturbed.sent << " | " << calm.failed + disturbed.failed << " |" << std::endl;
}

void measure(const char *title, Load load, int slowEngines)
{
    std::cout << title
              << "\n| policy | seed | undisturbed 99th, ms | disturbed 99th, ms | ratio | undisturbed median | disturbed median | counted | failed |\n";
    const char *seeds = std::getenv("GODWITFORK_SEEDS");
    for (std::uint64_t seed = 1; seed <= (seeds == nullptr ? 1 : std::strtoull(seeds, nullptr, 10)); ++seed) {
        load.seed = seed;
        for (const char *policy : {"power_of_two", "round_robin", "least_outstanding"}) {
            const Measured calm = runLoad(policy, load, false, 0);
            printRow(policy, seed, calm, runLoad(policy, load, load.longShare > 0, slowEngines));
        }
    }
}
} // namespace

TEST_CASE("Short requests beside long jobs", "[.measurement]")
{
    Load load;
    load.requestsPerSecond = 50;
    load.longShare = 0.05;
    load.length = std::chrono::seconds(15);
    measure("Short requests while 5 % of jobs run 50 times longer", load, 0);
}

TEST_CASE("Requests while 2 of 20 endpoints are slow", "[.measurement]")
{
    Load load;
    load.requestsPerSecond = 100;
    load.length = std::chrono::seconds(12);
    measure("2 of 20 endpoints slowed 10 times", load, 2);
}
