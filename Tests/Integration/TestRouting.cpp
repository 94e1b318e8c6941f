#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace Godwitfork;

namespace
{
std::size_t executionsOf(const ChildProcess &engine)
{
    return readJson(engine.address(), "/executions").at("executions").size();
}

void control(const ChildProcess &engine, const nlohmann::json &change)
{
    const auto response = callOnce(engine.address(), makeRequest("POST", "/control", change.dump()));
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
}

std::string codeOf(const HttpResponse &response)
{
    return nlohmann::json::parse(response.body).at("error").at("code").get<std::string>();
}

/// The whole answer of one request: the first and the last token of the same execution, once each.
void checkWholeAnswer(const HttpOutcome<HttpResponse> &response)
{
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
    const std::string &body = response.value().body;
    const std::string first = "[blazon:1.0 " + headerValue(response.value().headers, "X-Request-Id") + "]";
    REQUIRE(body.find(first) != std::string::npos);
    CHECK(body.find(first, body.find(first) + 1) == std::string::npos);
    CHECK(body.find("[end ") != std::string::npos);
}

/// Sends a request while the endpoint that takes it is stopped with the signal in mid-request.
void checkReplacedAfter(int signal, Duration limit)
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    const std::vector<std::string> slow {"--first-token-ms", "100", "--token-us", "50000"};
    std::vector<ChildProcess *> engines;
    for (const char *name : {"engine-1", "engine-2"}) {
        engines.push_back(&deployment.addEngine(name, {"blazon:1.0"}, slow));
    }
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    HttpOutcome<HttpResponse> response = HttpClientError();
    const MonotonicTime started = monotonicNow();
    std::thread caller([&] { response = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Gules, a bend")); });
    std::size_t taker = 0;
    const bool isRunning = waitUntil([&] {
        taker = executionsOf(*engines[0]) == 1 ? 0 : 1;
        return executionsOf(*engines[taker]) == 1;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    engines[taker]->sendSignal(signal);
    caller.join();
    REQUIRE(isRunning);
    checkWholeAnswer(response);
    CHECK(monotonicNow() - started < limit);
    CHECK(executionsOf(*engines[1 - taker]) == 1);
    CHECK(deployment.billingRecords().size() == 1);
}
} // namespace

// Guards against a failed or doubled answer when an endpoint dies under an idempotent request.
TEST_CASE("A request on a killed endpoint is answered whole by another")
{
    checkReplacedAfter(SIGKILL, std::chrono::seconds(5));
}

// Guards against a caller that waits for an endpoint that keeps its connection open and says nothing. The limit is the
// silence of 3 s that the router allows, plus two answers.
TEST_CASE("A silently frozen endpoint is replaced within the timeout")
{
    checkReplacedAfter(SIGSTOP, std::chrono::seconds(8));
}

// Guards against new work on an endpoint that says it is draining (I8), with an instance list that does not know it yet.
TEST_CASE("A draining endpoint gets no new work after 3 s")
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    const ChildProcess &leaving = deployment.addEngine("engine-1", {"blazon:1.0"}, {"--load-lag-ms", "2000"});
    const ChildProcess &staying = deployment.addEngine("engine-2", {"blazon:1.0"}, {"--load-lag-ms", "2000"});
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    control(leaving, {{"draining", true}});
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const std::size_t before = executionsOf(leaving);
    for (int i = 0; i < 30; ++i) {
        checkWholeAnswer(callOnce(deployment.router(0), deployment.chatRequest("blazon", "Vert " + std::to_string(i))));
    }
    CHECK(executionsOf(leaving) == before);
    CHECK(executionsOf(staying) >= 30);
}

// Guards against ignoring the platform's list when an endpoint cannot tell its own status.
TEST_CASE("An endpoint that the instance list calls leaving gets no new work")
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    const ChildProcess instances("standin-instances", {"--lag-ms", "500"});
    const ChildProcess &leaving = deployment.addEngine("engine-1", {"blazon:1.0"});
    deployment.addEngine("engine-2", {"blazon:1.0"});
    deployment.addRouter("router-1", "instance_list: " + toText(instances.address()) + "\n");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    putJson(instances.address(), "/instances/" + toText(leaving.address()), {{"state", "leaving"}});
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (int i = 0; i < 20; ++i) {
        checkWholeAnswer(callOnce(deployment.router(0), deployment.chatRequest("blazon", "Or " + std::to_string(i))));
    }
    CHECK(executionsOf(leaving) == 0);
}

// Guards against a late refusal, and against `ran: no` for a request that an endpoint recorded.
TEST_CASE("An overload is refused within 50 ms and ran nowhere")
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    const std::vector<std::string> full {"--max-running", "1", "--first-token-ms", "4000"};
    const ChildProcess &engine = deployment.addEngine("engine-1", {"blazon:1.0"}, full);
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    HttpOutcome<HttpResponse> running = HttpClientError();
    std::thread caller([&] { running = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Azure")); });
    const bool isRunning = waitUntil([&] { return executionsOf(engine) == 1; });
    std::vector<Duration> times;
    for (int i = 0; i < 20; ++i) {
        const MonotonicTime started = monotonicNow();
        const auto refused = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Purpure " + std::to_string(i)));
        times.push_back(monotonicNow() - started);
        REQUIRE(refused);
        CHECK(refused.value().status == 503);
        CHECK(codeOf(refused.value()) == "overloaded");
        CHECK(nlohmann::json::parse(refused.value().body).at("error").at("ran") == "no");
    }
    const std::size_t executions = executionsOf(engine);
    caller.join();
    REQUIRE(isRunning);
    checkWholeAnswer(running);
    CHECK(executions == 1);
    CHECK(*std::max_element(times.begin(), times.end()) < std::chrono::milliseconds(50));
}
