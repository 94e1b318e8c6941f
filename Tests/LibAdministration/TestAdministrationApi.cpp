#include "FakeObjectStore.h"

#include "LibAdministration/AdministrationApi.h"
#include "LibConfiguration/Builders.h"
#include "LibCore/Digest.h"
#include "LibCore/Identifier.h"
#include "LibLedger/RecordCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Godwitfork;

namespace
{
const std::string token = "0123456789abcdef";

/// Exchange that records the response.
class RecordedExchange : public HttpExchange
{
public:
    explicit RecordedExchange(HttpRequest request) : received(std::move(request))
    {
    }
    const HttpRequest &request() const override
    {
        return this->received;
    }
    boost::asio::awaitable<bool> respond(HttpResponse response) override
    {
        this->answer = std::move(response);
        co_return true;
    }
    boost::asio::awaitable<bool> startStream(int, HttpHeaders) override
    {
        co_return false;
    }
    boost::asio::awaitable<bool> writeChunk(std::string) override
    {
        co_return false;
    }
    boost::asio::awaitable<bool> finishStream() override
    {
        co_return false;
    }
    void abort() override
    {
    }

    void onClientDisconnect(std::function<void()>) override
    {
    }

    HttpRequest received;
    HttpResponse answer;
};

HttpResponse call(FakeObjectStore &store, const std::string &method, const std::string &target, const nlohmann::json &body, const std::string &key = "operator")
{
    AdministrationContext context;
    context.objects = store.objects();
    context.operatorKeyHashes = [] { return std::vector<std::string> {sha256Hex("other"), sha256Hex("operator")}; };
    context.instances = [] { return std::vector<InstanceState> {{"i", "i-1", "d", "s", 3, true}}; };
    context.now = [] { return WallTime(std::chrono::seconds(1)); };
    AdministrationApi api(std::move(context));
    RecordedExchange exchange(makeRequest(method, target, body.is_null() ? "" : body.dump(), {{"Authorization", "Bearer " + key}}));
    auto work = [&]() -> boost::asio::awaitable<bool> {
        co_await api.handle(exchange);
        co_return true;
    };
    store.run<bool>(work());
    return exchange.answer;
}

nlohmann::json configurationJson(VersionState state)
{
    Configuration configuration;
    configuration.sites["s"] = SiteConfigurationBuilder()
                                   .model({"m", {}, {{"1", VersionState::Stable, 1, 1}, {"2", state, 1, 1}}})
                                   .account(ClientAccountBuilder("a").key("k").model("m").build())
                                   .endpoint(EndpointBuilder("e", "10.0.0.1:80").failureDomain("d").servesVersion("m", "1").build())
                                   .build();
    return nlohmann::json::parse(toJson(configuration));
}

std::string codeOf(const HttpResponse &response)
{
    return nlohmann::json::parse(response.body).at("error").at("code").get<std::string>();
}
} // namespace

// Guards against access to the administration API with a caller's key, the digest of an operator key, or an empty key.
TEST_CASE("The API accepts only operator keys")
{
    FakeObjectStore store;
    for (const std::string &key : {std::string("k"), sha256Hex("operator"), std::string(), std::string("operator ")}) {
        CHECK(call(store, "GET", "/v1/status", nullptr, key).status == 401);
    }
    CHECK(call(store, "GET", "/v1/status", nullptr).status == 200);
}

// Guards against storing a configuration that the check of the files rejects, and against requests that name no revision.
TEST_CASE("Invalid requests are refused with specific codes and store nothing")
{
    FakeObjectStore store;
    const nlohmann::json good = configurationJson(VersionState::Stable);
    CHECK(codeOf(call(store, "POST", "/v1/configuration", {{"token", token}, {"configuration", good}})) == "invalid_request");
    CHECK(codeOf(call(store, "POST", "/v1/configuration", {{"token", "short"}, {"based_on", 0}, {"configuration", good}})) == "invalid_request");
    CHECK(codeOf(call(store, "POST", "/v1/configuration", {{"token", token}, {"based_on", 0}, {"extra", 1}, {"configuration", good}})) == "invalid_request");
    nlohmann::json bad = good;
    bad["sites"]["s"]["accounts"]["a"]["models"][0]["model"] = "unknown";
    const HttpResponse refused = call(store, "POST", "/v1/configuration", {{"token", token}, {"based_on", 0}, {"configuration", bad}});
    CHECK(refused.status == 422);
    CHECK_THAT(refused.body, Catch::Contains("unknown model 'unknown'"));
    bad = {{"sites", nlohmann::json::object()}};
    CHECK(codeOf(call(store, "POST", "/v1/configuration", {{"token", token}, {"based_on", 0}, {"configuration", bad}})) == "invalid_configuration");
    CHECK(codeOf(call(store, "POST", "/v1/endpoints", {{"token", token}, {"endpoint", "e"}, {"state", "off"}})) == "invalid_request");
    CHECK(store.writesTo("configuration/current") == 0);
}

// Guards against files from before a withdrawal that reinstate the bad version, and against a withdrawal that leaves a
// model without a stable version, unless the request allows it.
TEST_CASE("A withdrawn version is reinstated only if the request allows it")
{
    FakeObjectStore store;
    const nlohmann::json original = configurationJson(VersionState::Stable);
    REQUIRE(call(store, "POST", "/v1/configuration", {{"token", token + "1"}, {"based_on", 0}, {"configuration", original}}).status == 200);
    nlohmann::json withdrawal = {{"token", token + "2"}, {"model", "m"}, {"version", "2"}, {"state", "withdrawn"}};
    const HttpResponse withdrawn = call(store, "POST", "/v1/versions", withdrawal);
    REQUIRE(withdrawn.status == 200);
    const auto revision = nlohmann::json::parse(withdrawn.body).at("revision");
    nlohmann::json again = {{"token", token + "3"}, {"based_on", revision}, {"configuration", original}};
    CHECK(codeOf(call(store, "POST", "/v1/configuration", again)) == "version_withdrawn");
    withdrawal["token"] = token + "4";
    withdrawal["version"] = "1";
    CHECK(call(store, "POST", "/v1/versions", withdrawal).status == 409);
    again["reinstate"] = true;
    CHECK(call(store, "POST", "/v1/configuration", again).status == 200);
    const HttpResponse drained = call(store, "POST", "/v1/endpoints", {{"token", token + "5"}, {"endpoint", "e"}, {"state", "draining"}});
    REQUIRE(drained.status == 200);
    const HttpResponse rendered = call(store, "GET", "/v1/configuration/sites/s", nullptr);
    CHECK_THAT(rendered.body, Catch::Contains("state: draining"));
    CHECK(nlohmann::json::parse(call(store, "GET", "/v1/configuration/history", nullptr).body).at("revisions").size() == 4);
}

// Guards against a bill that counts a record twice, omits an hour bucket, includes records of another month, or is too low
// because a batch cannot be decoded.
TEST_CASE("Spend and bill count each stored record of the month once")
{
    FakeObjectStore store;
    REQUIRE(call(store, "POST", "/v1/configuration", {{"token", token}, {"based_on", 0}, {"configuration", configurationJson(VersionState::Stable)}}).status
            == 200);
    RandomSource random(20261204);
    const auto batchOf = [&](std::int64_t second, Microunits amount) {
        const WallTime admitted {std::chrono::seconds(second)};
        const auto record = BillingRecordBuilder()
                                .requestId(makeRequestId(admitted, random))
                                .account("a")
                                .site("s")
                                .outcome(RequestOutcome::Completed)
                                .amount(amount)
                                .admitted(admitted)
                                .build()
                                .value();
        return encodeBatch({std::make_shared<const BillingRecord>(record)});
    };
    constexpr std::int64_t monthStart = 1764547200; // 2025-12-01T00:00:00Z, hour 490152.
    constexpr std::int64_t monthEnd = monthStart + 31 * 86400;
    const std::string first = batchOf(monthStart, 1);
    store.putDirectly("ledger/490152/x-1", first);
    store.putDirectly("ledger/490152/keeper-1", first);
    store.putDirectly("ledger/490895/x-2", batchOf(monthEnd - 1, 10));
    store.putDirectly("ledger/490896/x-3", batchOf(monthEnd, 100));
    store.putDirectly("ledger/490151/x-4", batchOf(monthStart - 1, 1000));
    const auto december = nlohmann::json::parse(call(store, "GET", "/v1/bill?month=2025-12", nullptr).body).at("bills");
    REQUIRE(december.size() == 1);
    CHECK(december[0].at("amount") == 11);
    CHECK(december[0].at("requests") == 2);
    CHECK(call(store, "GET", "/v1/bill?month=2025-13", nullptr).status == 400);
    const auto spend = nlohmann::json::parse(call(store, "GET", "/v1/spend", nullptr).body).at("accounts");
    REQUIRE(spend.size() == 1);
    CHECK(spend[0].at("spent") == 0);
    store.putDirectly("ledger/490200/broken", "{\"records\": 3}");
    CHECK(call(store, "GET", "/v1/bill?month=2025-12", nullptr).status == 503);
}
