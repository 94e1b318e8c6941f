#include "Deployment.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace Godwitfork;

namespace
{
void startBlazonDeployment(Deployment &deployment, int routers)
{
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0"});
    for (int i = 0; i < routers; ++i) {
        deployment.addRouter("router-" + std::to_string(i + 1));
    }
    REQUIRE(deployment.waitForRevision(deployment.apply()));
}

std::string codeOf(const HttpOutcome<HttpResponse> &response)
{
    REQUIRE(response);
    return nlohmann::json::parse(response.value().body).at("error").at("code").get<std::string>();
}
} // namespace

// Guards against an answer without its bill, a bill without its answer, and answers that reach the wrong caller.
TEST_CASE("Two routers answer and bill each request once")
{
    Deployment deployment;
    startBlazonDeployment(deployment, 2);
    std::map<std::string, std::int64_t> costs;
    for (int i = 0; i < 10; ++i) {
        const bool streamed = i % 2 == 1;
        const auto response = callOnce(deployment.router(static_cast<std::size_t>(i / 2 % 2)),
                                       deployment.chatRequest("blazon", "Gules, a lion rampant " + std::to_string(i), streamed));
        REQUIRE(response);
        REQUIRE(response.value().status == 200);
        const std::string id = headerValue(response.value().headers, "X-Request-Id");
        CHECK(response.value().body.find("[blazon:1.0 " + id + "]") != std::string::npos);
        CHECK(response.value().body.find("[end ") != std::string::npos);
        if (!streamed) {
            costs[id] = std::stoll(headerValue(response.value().headers, "Godwitfork-Cost-Microunits"));
        }
    }
    const auto records = deployment.billingRecords();
    CHECK(records.size() == 10);
    for (const auto &[id, cost] : costs) {
        CHECK(records.at(id).at("amount") == cost);
    }
    for (const auto &execution : deployment.executions()) {
        const auto &record = records.at(execution.at("request_id").get<std::string>());
        CHECK(record.at("steps").at(0).at("completion_tokens") == execution.at("completion_tokens"));
    }
}

// Guards against bad input that changes state or gets an error that a client library cannot tell apart.
TEST_CASE("Bad input gets its own error and runs nowhere")
{
    Deployment deployment;
    startBlazonDeployment(deployment, 1);
    const HttpAddress router = deployment.router(0);
    const HttpRequest valid = deployment.chatRequest("blazon", "Argent", false);
    auto withBody = [&](std::string body) {
        HttpRequest request = valid;
        request.body = std::move(body);
        return codeOf(callOnce(router, request));
    };
    CHECK(withBody("{") == "invalid_json");
    CHECK(withBody("[]") == "invalid_request");
    CHECK(withBody(R"({"model":"blazon"})") == "invalid_request");
    CHECK(withBody(R"({"model":"blazon","messages":[{"role":"user"}]})") == "invalid_request");
    CHECK(withBody(R"({"model":"blazon","stream":"yes","messages":[{"role":"user","content":"x"}]})") == "invalid_request");
    CHECK(withBody(R"({"model":"unknown","messages":[{"role":"user","content":"x"}]})") == "model_not_found");
    CHECK(withBody(R"({"model":"blazon:9.9","messages":[{"role":"user","content":"x"}]})") == "version_not_allowed");
    CHECK(withBody(std::string(2 * 1024 * 1024, ' ')) == "body_too_large");
    HttpRequest wrongKey = valid;
    wrongKey.headers = {{"Authorization", "Bearer other"}};
    CHECK(codeOf(callOnce(router, wrongKey)) == "invalid_api_key");
    CHECK(codeOf(callOnce(router, makeRequest("GET", "/v1/unknown", "", valid.headers))) == "not_found");
    CHECK(codeOf(callOnce(router, makeRequest("GET", "/v1/chat/completions", "", valid.headers))) == "method_not_allowed");
    HttpRequest badDeadline = valid;
    badDeadline.headers.push_back({"Godwitfork-Deadline-Ms", "-1"});
    CHECK(codeOf(callOnce(router, badDeadline)) == "invalid_request");
    CHECK(deployment.executions().empty());
    CHECK(deployment.billingRecords().empty());
}

// Guards against a planned stop that cuts off a request or loses its bill.
TEST_CASE("A planned stop lets a running answer finish")
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    deployment.addEngine("engine-1", {"blazon:1.0"}, {"--first-token-ms", "600"});
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    HttpOutcome<HttpResponse> response = HttpClientError();
    std::thread caller([&] { response = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Vert", true)); });
    REQUIRE(waitUntil([&] { return deployment.executions().size() == 1; }));
    deployment.routerProcess(0).sendSignal(SIGTERM);
    caller.join();
    REQUIRE(response);
    CHECK(response.value().body.find("data: [DONE]") != std::string::npos);
    CHECK(deployment.routerProcess(0).wait() == 0);
    CHECK(deployment.billingRecords().size() == 1);
}

// Guards against a router that ends while a connection that it has accepted sends its request.
TEST_CASE("A request that arrives just after the listener has closed is answered before the router ends")
{
    using Tcp = boost::asio::ip::tcp;
    Deployment deployment;
    deployment.addRouter("router-1");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    boost::asio::io_context context;
    const HttpAddress address = deployment.router(0);
    const Tcp::endpoint listener(boost::asio::ip::make_address(address.host), address.port);
    Tcp::socket connection(context);
    connection.connect(listener);
    deployment.routerProcess(0).sendSignal(SIGTERM);
    REQUIRE(waitUntil([&] {
        boost::system::error_code error;
        Tcp::socket probe(context);
        probe.connect(listener, error);
        return error.failed();
    }));
    boost::system::error_code error;
    boost::asio::write(connection, boost::asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), error);
    std::string answer;
    boost::asio::read(connection, boost::asio::dynamic_buffer(answer), error);
    CHECK(answer.starts_with("HTTP/1.1 "));
    CHECK(deployment.routerProcess(0).wait() == 0);
}

// Guards against a request that runs on a version that was withdrawn before it arrived.
TEST_CASE("A withdrawn version gets no new request")
{
    Deployment deployment;
    deployment.addVersion("blazon", "1.0");
    deployment.addVersion("blazon", "1.1");
    deployment.addEngine("engine-1", {"blazon:1.0", "blazon:1.1"});
    deployment.addRouter("router-1");
    deployment.addRouter("router-2");
    REQUIRE(deployment.waitForRevision(deployment.apply()));
    deployment.site().models["blazon"].versions[1].state = VersionState::Withdrawn;
    REQUIRE(deployment.waitForRevision(deployment.apply(), std::chrono::seconds(5)));
    for (std::size_t i = 0; i < 2; ++i) {
        const auto response = callOnce(deployment.router(i), deployment.chatRequest("blazon", "Or", false));
        REQUIRE(response);
        CHECK(headerValue(response.value().headers, "Godwitfork-Version") == "1.0");
        CHECK(codeOf(callOnce(deployment.router(i), deployment.chatRequest("blazon:1.1", "Or", false))) == "version_not_allowed");
    }
    for (const auto &execution : deployment.executions()) {
        CHECK(execution.at("model") == "blazon:1.0");
    }
}

// Guards against a ledger write that is repeated under another name after its answer was lost.
TEST_CASE("A lost answer to a ledger write bills the request once")
{
    Deployment deployment;
    startBlazonDeployment(deployment, 1);
    deployment.setStoreFault({{"lost_write_answers", 2}, {"lost_prefix", "ledger/"}});
    const auto response = callOnce(deployment.router(0), deployment.chatRequest("blazon", "Sable", false));
    REQUIRE(response);
    CHECK(response.value().status == 200);
    CHECK(deployment.billingRecords().size() == 1);
}
