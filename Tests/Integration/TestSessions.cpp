#include "Deployment.h"
#include "LibSession/SessionToken.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Godwitfork;

namespace
{
HttpRequest sessionRequest(const Deployment &deployment, const std::string &session)
{
    HttpRequest request = deployment.chatRequest("blazon", "Per pale or and azure", false);
    request.headers.push_back({"Godwitfork-Session", session});
    return request;
}

std::string versionOf(const HttpOutcome<HttpResponse> &response)
{
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
    return headerValue(response.value().headers, "Godwitfork-Version");
}

void startTwoRouters(Deployment &deployment)
{
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0", "blazon:1.1"});
    deployment.addRouter("router-1");
    deployment.addRouter("router-2");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
}
} // namespace

// Guards against a session that changes its version when a newer one becomes stable, on either instance.
TEST_CASE("A session keeps its version when a newer one becomes stable")
{
    Deployment deployment;
    startTwoRouters(deployment);
    const auto first = callOnce(deployment.router(0), sessionRequest(deployment, "order-1"));
    CHECK(versionOf(first) == "1.0");
    const std::string token = headerValue(first.value().headers, "Godwitfork-Session");
    deployment.addVersion("blazon", "1.1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    CHECK(versionOf(callOnce(deployment.router(1), sessionRequest(deployment, "order-1"))) == "1.0");
    CHECK(versionOf(callOnce(deployment.router(1), sessionRequest(deployment, token))) == "1.0");
    CHECK(versionOf(callOnce(deployment.router(1), sessionRequest(deployment, "order-2"))) == "1.1");
}

// Guards against two instances that pin a session to different versions when its first requests arrive at once while the
// instances run under different revisions.
TEST_CASE("Two first requests at once agree on the version")
{
    Deployment deployment;
    startTwoRouters(deployment);
    deployment.addVersion("blazon", "1.1");
    deployment.apply();
    for (int i = 0; i < 20; ++i) {
        const std::string session = "race-" + std::to_string(i);
        std::vector<std::string> versions(2);
        std::vector<std::thread> callers;
        for (std::size_t router = 0; router < 2; ++router) {
            callers.emplace_back([&, router] {
                const auto response = callOnce(deployment.router(router), sessionRequest(deployment, session));
                versions[router] = response ? headerValue(response.value().headers, "Godwitfork-Version") : "no answer";
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(versions[0] == versions[1]);
    }
}

// Guards against an instance that takes the version of a newer revision for a withdrawn one and moves the session back.
TEST_CASE("An instance that is behind waits for the revision of a session's pin")
{
    Deployment deployment;
    startTwoRouters(deployment);
    const std::uint64_t nextRevision = deployment.apply() + 2;
    const std::string object = sessionObjectName({"workshop", "order-1", "blazon"});
    const nlohmann::json pin {{"model", "blazon"}, {"version", "1.1"}, {"revision", nextRevision}};
    const auto written = callOnce(deployment.store().address(), makeRequest("PUT", "/v1/objects/" + percentEncode(object), pin.dump()));
    REQUIRE(written);
    REQUIRE(written.value().status == 200);
    std::string version;
    std::thread caller([&] {
        const auto response = callOnce(deployment.router(0), sessionRequest(deployment, "order-1"));
        version = response ? headerValue(response.value().headers, "Godwitfork-Version") : "no answer";
    });
    // The request meets the pin before its revision.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    deployment.addVersion("blazon", "1.1");
    CHECK(deployment.apply() >= nextRevision);
    caller.join();
    CHECK(version == "1.1");
}

// Guards against a session that goes on using a withdrawn version, and against two instances that move it differently.
TEST_CASE("A session of a withdrawn version moves once and says so")
{
    Deployment deployment;
    startTwoRouters(deployment);
    const auto first = callOnce(deployment.router(0), sessionRequest(deployment, "order-1"));
    const std::string token = headerValue(first.value().headers, "Godwitfork-Session");
    deployment.addVersion("blazon", "1.1");
    deployment.site().models["blazon"].versions[0].state = VersionState::Withdrawn;
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    const auto moved = callOnce(deployment.router(1), sessionRequest(deployment, token));
    CHECK(versionOf(moved) == "1.1");
    CHECK(headerValue(moved.value().headers, "Godwitfork-Session-Moved") == "1.0");
    CHECK(versionOf(callOnce(deployment.router(0), sessionRequest(deployment, "order-1"))) == "1.1");

    deployment.site().accounts["workshop"].onWithdrawn = WithdrawalPolicy::Refuse;
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    const std::size_t executed = deployment.executions().size();
    const auto refused = callOnce(deployment.router(0), sessionRequest(deployment, token));
    REQUIRE(refused);
    CHECK(refused.value().status == 409);
    CHECK(refused.value().body.find("\"session_version_withdrawn\"") != std::string::npos);
    CHECK(deployment.executions().size() == executed);
}

// Guards against a pin that contradicts the stored one because the store could not be asked.
TEST_CASE("Without the store only known sessions are served")
{
    Deployment deployment;
    startTwoRouters(deployment);
    const auto first = callOnce(deployment.router(0), sessionRequest(deployment, "order-1"));
    const std::string token = headerValue(first.value().headers, "Godwitfork-Session");
    const std::size_t executed = deployment.executions().size();
    deployment.setStoreFault({{"lost_write_answers", 3}, {"lost_prefix", "sessions/"}});
    CHECK(versionOf(callOnce(deployment.router(1), sessionRequest(deployment, "order-3"))) == "1.0");
    deployment.setStoreFault({{"outage", true}});
    const auto unknown = callOnce(deployment.router(1), sessionRequest(deployment, "order-4"));
    REQUIRE(unknown);
    CHECK(unknown.value().status == 503);
    CHECK(unknown.value().body.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(deployment.executions().size() == executed + 1);
}
