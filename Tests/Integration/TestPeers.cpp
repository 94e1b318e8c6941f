#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace Godwitfork;

namespace
{
constexpr Duration longerThanLease = std::chrono::seconds(6);

void startThreeRouters(Deployment &deployment)
{
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0"});
    for (int i = 1; i <= 3; ++i) {
        deployment.addRouter("router-" + std::to_string(i));
    }
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    // The members know each other once each has two live peers.
    REQUIRE(waitUntil([&] {
        for (std::size_t i = 0; i < 3; ++i) {
            const auto lines = deployment.routerProcess(i).logLines();
            const bool hasPeers =
                std::any_of(lines.begin(), lines.end(), [](const std::string &line) { return line.find("\"live_peers\":2") != std::string::npos; });
            if (!hasPeers) {
                return false;
            }
        }
        return true;
    }));
    // One gossip round gives each instance a sign of life of the others.
    std::this_thread::sleep_for(std::chrono::seconds(2));
}

bool isReady(const Deployment &deployment, std::size_t router)
{
    const auto ready = callOnce(deployment.router(router), makeRequest("GET", "/readyz"));
    return ready && ready.value().status == 200;
}
} // namespace

// Guards against a service that stops with the platform's store, and against records that die with the process that holds
// them: the store is away, one router is killed, and every answer that a caller saw to its end is billed once.
TEST_CASE("A store outage stops neither service nor billing, even if a router dies in it")
{
    Deployment deployment;
    startThreeRouters(deployment);
    deployment.setStoreFault({{"outage", true}});
    std::set<std::string> answered;
    const MonotonicTime until = monotonicNow() + longerThanLease;
    for (int i = 0; monotonicNow() < until; ++i) {
        const std::size_t router = static_cast<std::size_t>(i % 3);
        const auto response = callOnce(deployment.router(router), deployment.chatRequest("blazon", "Ermine, a chevron " + std::to_string(i)));
        REQUIRE(response);
        INFO(response.value().body);
        REQUIRE(response.value().status == 200);
        answered.insert(headerValue(response.value().headers, "X-Request-Id"));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    deployment.routerProcess(0).sendSignal(SIGKILL);
    deployment.setStoreFault({{"outage", false}});
    CHECK(waitUntil([&] { return deployment.billingRecords().size() >= answered.size(); }, std::chrono::seconds(30)));
    const auto records = deployment.billingRecords();
    CHECK(records.size() == answered.size());
    for (const std::string &id : answered) {
        CHECK(records.contains(id));
    }
}

// Guards against an instance that goes on with an old configuration after it lost both the store and its peers.
TEST_CASE("An instance without store and majority refuses within 5 s, and nothing runs")
{
    constexpr Duration refusalLimit = std::chrono::seconds(5);
    Deployment deployment;
    startThreeRouters(deployment);
    deployment.store().sendSignal(SIGSTOP);
    deployment.routerProcess(0).sendSignal(SIGKILL);
    deployment.routerProcess(1).sendSignal(SIGKILL);
    CHECK(waitUntil([&] { return !isReady(deployment, 2); }, refusalLimit));
    const auto refused = callOnce(deployment.router(2), deployment.chatRequest("blazon", "Argent"));
    REQUIRE(refused);
    const auto error = nlohmann::json::parse(refused.value().body).at("error");
    CHECK(error.at("code") == "not_ready");
    CHECK(error.at("ran") == "no");
    CHECK(deployment.executions().empty());
    deployment.store().sendSignal(SIGCONT);
    CHECK(waitUntil([&] { return isReady(deployment, 2); }));
}
