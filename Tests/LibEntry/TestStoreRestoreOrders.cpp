#include "StoreFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;

namespace
{
constexpr const char *key = "Bearer key-a";
constexpr Duration startTime = 500ms;
/// Longer than operators need to write again what the store's copy lacks.
constexpr Duration rewriteTime = 11s;
constexpr std::size_t requestCount = 20;

/// A store with a configuration, an endpoint of version v1, and an entry that has read them.
struct OrderFixture : StoreFixture {
    OrderFixture()
    {
        this->configure(1, accountList({"a"}));
        this->addEndpoint("e1");
        this->instance = &this->addInstance();
        this->run(startTime);
    }

    int send()
    {
        return StoreFixture::send(*this->instance, key);
    }

    /// Sends requests and returns how many of them an endpoint ran.
    std::ptrdiff_t countRunsAt(const std::string &endpoint)
    {
        this->endpointsOfRuns.clear();
        this->sendTogether(*this->instance, key, requestCount);
        return std::count(this->endpointsOfRuns.begin(), this->endpointsOfRuns.end(), endpoint);
    }

    /// Evacuates the failure domain of all endpoints.
    void evacuate()
    {
        this->store.put("evacuations", "a", nlohmann::json::object());
    }

    nlohmann::json rolloutStatus()
    {
        return this->store.object("rollouts", "pool").at("status");
    }

    ServingInstance *instance = nullptr;
};

template<typename T>
T runCall(StoreFixture &fixture, Asio::awaitable<T> call)
{
    std::optional<T> result;
    auto run = [&]() -> Asio::awaitable<void> { result = co_await std::move(call); };
    Asio::co_spawn(fixture.context, run, Asio::detached);
    while (!result) {
        fixture.context.run_one();
    }
    return std::move(*result);
}
} // namespace

TEST_CASE("An evacuation that the store's copy lacks stays in force until it had time to be written again", "[restore]")
{
    // Guards against EVAC: the list after the store's return ended an evacuation that the operator was about to write again.
    OrderFixture fixture;
    fixture.store.copy();
    fixture.evacuate();
    fixture.run(startTime);
    REQUIRE(fixture.send() == 503);
    fixture.store.restore();
    fixture.run(changeLimit);
    CHECK(fixture.send() == 503);
    SECTION("it is written again, and then removed")
    {
        fixture.evacuate();
        fixture.run(startTime);
        CHECK(fixture.send() == 503);
        fixture.store.remove("evacuations", "a");
        fixture.run(startTime);
    }
    SECTION("it is not")
    {
        fixture.run(rewriteTime);
        CHECK(fixture.store.lists["evacuations"] == 3);
        CHECK(fixture.store.lists["config"] == 2);
    }
    CHECK(fixture.send() == 200);
}

TEST_CASE("An order that was removed while the store was away and forgot its history is no longer followed", "[restore]")
{
    // Guards against lost capacity: the list in place of the lost history left the removed order in force, which kept requests from a version.
    OrderFixture fixture;
    fixture.addEndpoint("e2", "v2");
    fixture.orderRollout("v2", "reverted");
    fixture.run(startTime);
    REQUIRE(fixture.countRunsAt("e2") == 0);
    fixture.store.setMode(StoreMode::Busy);
    fixture.store.remove("rollouts", "pool");
    fixture.store.forgetHistory();
    fixture.run(startTime);
    fixture.store.setMode(StoreMode::Up);
    fixture.run(changeLimit);
    CHECK(fixture.countRunsAt("e2") > 0);
}

TEST_CASE("An order that the store's copy lacks stays in force until it had time to be written again", "[restore]")
{
    // Guards against EXPOSURE: the end of a roll-out that was written since the copy was forgotten, and its bad version got requests.
    OrderFixture fixture;
    fixture.addEndpoint("e2", "v2");
    fixture.store.copy();
    fixture.orderRollout("v2", "reverted");
    fixture.run(startTime);
    REQUIRE(fixture.countRunsAt("e2") == 0);
    fixture.store.restore();
    fixture.run(changeLimit);
    CHECK(fixture.countRunsAt("e2") == 0);
    SECTION("it is written again")
    {
        fixture.orderRollout("v2");
        fixture.run(startTime);
        CHECK(fixture.countRunsAt("e2") == 0);
        CHECK(fixture.rolloutStatus().at("state") == "reverted");
    }
    SECTION("it is not")
    {
        fixture.run(rewriteTime);
        CHECK(fixture.countRunsAt("e2") > 0);
    }
}

TEST_CASE("A roll-out that has ended is not taken up again when the store returns from a copy", "[restore]")
{
    // Guards against EXPOSURE and LOST: the copy's state put the roll-out back to before its end, so requests went to endpoints that had stopped or to a bad
    // version.
    const std::string end = GENERATE("completed", "reverted");
    const std::string other = end == "completed" ? "e1" : "e2";
    OrderFixture fixture;
    fixture.addEndpoint("e2", "v2");
    fixture.orderRollout("v2", "in_progress");
    fixture.run(startTime);
    fixture.store.copy();
    fixture.store.putStatus("rollouts", "pool", {{"state", end}, {"target", "v2"}});
    fixture.run(startTime);
    REQUIRE(fixture.countRunsAt(other) == 0);
    fixture.store.restore();
    fixture.run(changeLimit);
    CHECK(fixture.countRunsAt(other) == 0);
    CHECK(fixture.rolloutStatus() == nlohmann::json({{"state", end}, {"target", "v2"}}));
    // The order counts as removed once the store says so in the new era.
    fixture.store.remove("rollouts", "pool");
    fixture.run(changeLimit);
    CHECK(fixture.countRunsAt(other) > 0);
}

TEST_CASE("The state of a roll-out is not written under a revision of a former era", "[restore]")
{
    // Guards against a write over another state of the order: the store gives out the same revision again.
    OrderFixture fixture;
    fixture.store.copy();
    fixture.orderRollout("v2", "in_progress");
    Platform::CatalogClient client(fixture.client, fixture.store.address(), 1s);
    const auto listed = runCall(fixture, client.list(CatalogKind::Rollouts));
    REQUIRE(listed);
    const auto order = std::get<RolloutOrder>(*listed.value().changes.at(0).object);
    fixture.store.restore();
    fixture.orderRollout("v3", "reverted");
    REQUIRE(fixture.store.object("rollouts", "pool").at("metadata").at("revision") == order.revision);
    const bool isEraKnown = GENERATE(true, false);
    if (isEraKnown) {
        REQUIRE(runCall(fixture, client.list(CatalogKind::Configuration)));
    }
    const auto written = runCall(fixture, client.writeRolloutState(order, RolloutState::Completed));
    REQUIRE(!written);
    CHECK(written.error().failure == CatalogFailure::Conflict);
    if (isEraKnown) {
        CHECK(fixture.rolloutStatus() == nlohmann::json({{"state", "reverted"}, {"target", "v3"}}));
    }
}

TEST_CASE("An endpoint that is draining gets no request when the store's copy lists it as ready", "[restore]")
{
    // Guards against DRAIN: the registration from before was taken for a later one.
    OrderFixture fixture;
    fixture.addEndpoint("e2");
    fixture.run(startTime);
    REQUIRE(fixture.countRunsAt("e2") > 0);
    fixture.store.copy();
    fixture.registerEndpoint("e2", "draining");
    fixture.run(startTime);
    REQUIRE(fixture.countRunsAt("e2") == 0);
    fixture.store.restore();
    fixture.run(changeLimit);
    CHECK(fixture.countRunsAt("e2") == 0);
    fixture.registerEndpoint("e2");
    fixture.run(startTime);
    CHECK(fixture.countRunsAt("e2") > 0);
}
