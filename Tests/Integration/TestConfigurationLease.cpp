#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace Godwitfork;

// Guards against a lease that heartbeats of a healthy store do not extend, and against an instance that goes on with a
// configuration that nobody has confirmed since the store froze.
TEST_CASE("An instance serves while the store's heartbeats arrive and refuses within 5 s after the last")
{
    constexpr Duration longerThanLease = std::chrono::seconds(6);
    constexpr Duration refusalLimit = std::chrono::seconds(5);
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0"});
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    const auto isReady = [&] {
        const auto ready = callOnce(deployment.router(0), makeRequest("GET", "/readyz"));
        return ready && ready.value().status == 200;
    };
    const MonotonicTime healthyUntil = monotonicNow() + longerThanLease;
    while (monotonicNow() < healthyUntil) {
        REQUIRE(isReady());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    deployment.store().sendSignal(SIGSTOP);
    CHECK(waitUntil([&] { return !isReady(); }, refusalLimit));
    const auto refused = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Argent, three bars"));
    REQUIRE(refused);
    const auto error = nlohmann::json::parse(refused.value().body).at("error");
    CHECK(error.at("code") == "not_ready");
    CHECK(error.at("ran") == "no");
    CHECK(deployment.executions().empty());
    deployment.store().sendSignal(SIGCONT);
    CHECK(waitUntil(isReady));
}
