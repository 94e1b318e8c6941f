#include "Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace Godwitfork;

namespace
{
using Answer = HttpOutcome<HttpResponse>;

/// One service `deposits` that is not idempotent, and the given number of routers.
struct Orders {
    explicit Orders(int routers, std::vector<std::string> serviceOptions = {})
        : service(deployment.addService("deposits", Idempotency::NotIdempotent, std::move(serviceOptions)))
    {
        for (int i = 0; i < routers; ++i) {
            this->deployment.addRouter("router-" + std::to_string(i + 1));
        }
        REQUIRE(this->deployment.waitForRevision(this->deployment.apply()));
    }

    HttpRequest request(const std::string &key, const std::string &body = "5 crowns") const
    {
        HttpRequest request = makeRequest("POST", "/v1/services/deposits/take?till=2", body);
        request.headers = {{"Authorization", "Bearer workshop-key"}, {"Content-Type", "text/plain"}};
        if (!key.empty()) {
            request.headers.push_back({"Idempotency-Key", key});
        }
        return request;
    }

    std::future<Answer> callLater(std::size_t router, HttpRequest request)
    {
        const HttpAddress address = this->deployment.router(router);
        return std::async(std::launch::async, [address, request = std::move(request)] { return callOnce(address, request); });
    }

    Answer call(std::size_t router, HttpRequest request)
    {
        return callOnce(this->deployment.router(router), std::move(request));
    }

    nlohmann::json executions()
    {
        return readJson(this->service.address(), "/executions").at("executions");
    }

    /// State of the only claim object; empty if there is none.
    std::string claimState()
    {
        const auto objects = readJson(this->deployment.store().address(), "/v1/list?prefix=claims%2F&after=").at("objects");
        return objects.empty() ? "" : objects.at(0).at("value").at("state").get<std::string>();
    }

    Deployment deployment;
    ChildProcess &service;
};

HttpRequest withDeadline(HttpRequest request, int milliseconds)
{
    request.headers.push_back({"Godwitfork-Deadline-Ms", std::to_string(milliseconds)});
    return request;
}

/// `code/ran` of an error, or the status of a good answer.
std::string verdict(const Answer &answer)
{
    if (!answer) {
        return "connection lost";
    }
    if (answer.value().status == 200) {
        return "200";
    }
    const auto error = nlohmann::json::parse(answer.value().body).at("error");
    return error.at("code").get<std::string>() + "/" + error.at("ran").get<std::string>();
}
} // namespace

// Guards against a deposit that is taken twice because two instances each believe that they own the key.
TEST_CASE("Two routers race for the same key")
{
    Orders orders(2, {"--delay-ms", "100"});
    for (int round = 0; round < 10; ++round) {
        const std::string key = "order-" + std::to_string(round);
        std::vector<std::future<Answer>> answers;
        for (std::size_t i = 0; i < 6; ++i) {
            answers.push_back(orders.callLater(i % 2, orders.request(key)));
        }
        std::map<std::string, int> verdicts;
        for (auto &answer : answers) {
            verdicts[verdict(answer.get())] += 1;
        }
        CHECK(verdicts["200"] + verdicts["request_in_progress/unknown"] == 6);
        CHECK(verdicts["200"] >= 1);
        CHECK(orders.executions().size() == static_cast<std::size_t>(round) + 1);
        const Answer first = orders.call(0, orders.request(key));
        const Answer second = orders.call(1, orders.request(key));
        REQUIRE(verdict(first) == "200");
        REQUIRE(verdict(second) == "200");
        CHECK(first.value().body == second.value().body);
        CHECK(headerValue(first.value().headers, "X-Request-Id") == headerValue(second.value().headers, "X-Request-Id"));
        CHECK(orders.executions().back().at("request_id") == headerValue(first.value().headers, "X-Request-Id"));
    }
    CHECK(orders.executions().size() == 10);
    const auto records = orders.deployment.billingRecords();
    CHECK(records.size() == 10);
    for (const auto &[id, record] : records) {
        CHECK(record.at("amount") == 100);
    }
}

// Guards against a retry that repeats a call whose owner died while the service was working.
TEST_CASE("The owner is killed after the dispatch")
{
    Orders orders(2, {"--delay-ms", "1000"});
    std::future<Answer> lost = orders.callLater(0, withDeadline(orders.request("order"), 1500));
    REQUIRE(waitUntil([&] { return orders.executions().size() == 1; }));
    orders.deployment.routerProcess(0).sendSignal(SIGKILL);
    CHECK(verdict(lost.get()) == "connection lost");
    CHECK(verdict(orders.call(1, orders.request("order"))) == "request_in_progress/unknown");
    CHECK(waitUntil([&] { return verdict(orders.call(1, orders.request("order"))) == "outcome_unknown/unknown"; }));
    CHECK(orders.claimState() == "unknown");
    CHECK(verdict(orders.call(1, orders.request("order"))) == "outcome_unknown/unknown");
    CHECK(orders.executions().size() == 1);
}

// Guards against a refusal that says `ran: no` for a call that ran, and against a key that stays blocked after an outage.
TEST_CASE("The store is out")
{
    Orders orders(1);
    orders.deployment.setStoreFault({{"outage", true}});
    CHECK(verdict(orders.call(0, orders.request("order"))) == "store_unavailable/no");
    CHECK(orders.executions().empty());
    orders.deployment.setStoreFault({{"outage", false}});
    CHECK(waitUntil([&] { return verdict(orders.call(0, orders.request("order"))) == "200"; }));
    CHECK(orders.executions().size() == 1);
    CHECK(orders.deployment.billingRecords().size() == 1);
}

// Guards against a claim that its own writer takes for another's, and against a second dispatch after a lost answer.
TEST_CASE("The store loses the answer of the claim write")
{
    Orders orders(2);
    orders.deployment.setStoreFault({{"lost_write_answers", 1}, {"lost_prefix", "claims/"}});
    const Answer answer = orders.call(0, orders.request("order"));
    CHECK(verdict(answer) == "200");
    const Answer retry = orders.call(1, orders.request("order"));
    REQUIRE(verdict(retry) == "200");
    CHECK(retry.value().body == answer.value().body);
    CHECK(orders.executions().size() == 1);
    // Both the claim write and the update to `done` lose their answers.
    orders.deployment.setStoreFault({{"lost_write_answers", 2}, {"lost_prefix", "claims/"}});
    CHECK(verdict(orders.call(0, orders.request("other"))) == "200");
    CHECK(verdict(orders.call(1, orders.request("other"))) == "200");
    CHECK(orders.executions().size() == 2);
}

// Guards against an owner that wakes up after its claim has expired and dispatches although another instance has told the
// caller that the outcome is unknown.
TEST_CASE("The owner is paused past not_after before the dispatch")
{
    Orders orders(2);
    orders.deployment.setStoreFault({{"delay_ms", 600}});
    std::future<Answer> paused = orders.callLater(0, withDeadline(orders.request("order"), 1500));
    // The claim write is on its way and takes effect at 600 ms, while the owner does not run.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    orders.deployment.routerProcess(0).sendSignal(SIGSTOP);
    REQUIRE(waitUntil([&] { return orders.claimState() == "claimed"; }));
    orders.deployment.setStoreFault({{"delay_ms", 0}});
    const bool retryFirst = GENERATE(true, false);
    if (retryFirst) {
        CHECK(waitUntil([&] { return verdict(orders.call(1, orders.request("order"))) == "outcome_unknown/unknown"; }));
    } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    }
    orders.deployment.routerProcess(0).sendSignal(SIGCONT);
    CHECK(verdict(paused.get()) == "deadline_exceeded/no");
    CHECK(orders.executions().empty());
    // A claim that no retry has given up is released by its owner, and the key can be used again.
    if (!retryFirst) {
        CHECK(waitUntil([&] { return verdict(orders.call(1, orders.request("order"))) == "200"; }));
        CHECK(orders.executions().size() == 1);
    }
}

// Guards against a bad order that reaches the service, and against errors that a caller cannot tell apart.
TEST_CASE("Orders that are not valid get their own error")
{
    Orders orders(1);
    CHECK(verdict(orders.call(0, orders.request(""))) == "idempotency_key_required/no");
    CHECK(verdict(orders.call(0, orders.request(std::string(256, 'k')))) == "invalid_request/no");
    HttpRequest unknown = orders.request("order");
    unknown.target = "/v1/services/cutting/start";
    CHECK(verdict(orders.call(0, unknown)) == "service_not_found/no");
    HttpRequest wrongMethod = orders.request("order");
    wrongMethod.method = "GET";
    CHECK(verdict(orders.call(0, wrongMethod)) == "method_not_allowed/no");
    CHECK(orders.executions().empty());
    const Answer answer = orders.call(0, orders.request("order"));
    REQUIRE(verdict(answer) == "200");
    CHECK(headerValue(answer.value().headers, "Godwitfork-Cost-Microunits") == "100");
    CHECK(verdict(orders.call(0, orders.request("order", "6 crowns"))) == "idempotency_key_reused/no");
    const auto executions = orders.executions();
    REQUIRE(executions.size() == 1);
    CHECK(executions.at(0).at("path") == "/take?till=2");
    CHECK(executions.at(0).at("body") == "5 crowns");
    CHECK(executions.at(0).at("fencing") > 0);
}

// Guards against `ran: no` after the request went out, and against a key that is blocked although nothing ran.
TEST_CASE("The service does not answer")
{
    Orders orders(1, {"--delay-ms", "1500"});
    CHECK(verdict(orders.call(0, withDeadline(orders.request("late"), 500))) == "deadline_exceeded/unknown");
    CHECK(verdict(orders.call(0, orders.request("late"))) == "outcome_unknown/unknown");
    CHECK(orders.executions().size() == 1);
    std::future<Answer> lost = orders.callLater(0, orders.request("lost"));
    REQUIRE(waitUntil([&] { return orders.executions().size() == 2; }));
    orders.service.sendSignal(SIGKILL);
    CHECK(verdict(lost.get()) == "endpoint_failed/unknown");
    CHECK(verdict(orders.call(0, orders.request("lost"))) == "outcome_unknown/unknown");
    CHECK(verdict(orders.call(0, orders.request("refused"))) == "endpoint_failed/no");
    CHECK(waitUntil([&] { return verdict(orders.call(0, orders.request("refused"))) == "endpoint_failed/no"; }));
}

// Guards against claims for services that may be repeated, which would cost two store writes for each call.
TEST_CASE("An idempotent service needs no key")
{
    Deployment deployment;
    ChildProcess &service = deployment.addService("lettering", Idempotency::Idempotent);
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    const HttpRequest request = makeRequest("POST", "/v1/services/lettering/draw", "A", {{"Authorization", "Bearer workshop-key"}});
    CHECK(verdict(callOnce(deployment.router(0), request)) == "200");
    CHECK(verdict(callOnce(deployment.router(0), request)) == "200");
    CHECK(readJson(service.address(), "/executions").at("executions").size() == 2);
    CHECK(readJson(deployment.store().address(), "/v1/list?prefix=claims%2F&after=").at("objects").empty());
    CHECK(deployment.billingRecords().size() == 2);
}
