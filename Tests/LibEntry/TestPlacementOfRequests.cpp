#include "EntryFixture.h"
#include "LibEntry/CatalogChanges.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace Godwitfork;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace
{
using Names = std::vector<std::string>;

void setEvacuated(EntryState &state, const std::string &domain, bool isEvacuated)
{
    CatalogChange change;
    change.name = domain;
    if (isEvacuated) {
        change.object = Evacuation {domain};
    }
    applyCatalogChange(state, CatalogKind::Evacuations, change, {}, monotonicNow());
}

void moveEndpoint(EntryState &state, const std::string &id, const std::string &domain, const std::string &version = "v1")
{
    EndpointEntry entry = *state.endpoints.find(id);
    entry.failureDomain = domain;
    entry.version = version;
    state.endpoints.put(entry, monotonicNow());
}

void setRoute(EntryState &state, Route route, const Names &accountHome = {})
{
    ServiceProperties service;
    service.name = "pool";
    ClientAccount account;
    account.name = "t";
    account.keys = {"key"};
    account.homeRegions = accountHome;
    state.routes = std::make_shared<const RouteTable>(RouteConfigurationBuilder(1).addRoute(std::move(route)).addService(service).addAccount(account).build());
}

HttpHeaders accountHeaders(const std::string &id)
{
    HttpHeaders headers = callerHeaders(id);
    headers.push_back({"Authorization", "Bearer key"});
    return headers;
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

EntryFixture::EndpointScript plainAnswer(int *arrivals)
{
    return [arrivals](HttpExchange &exchange) -> awaitable<void> {
        ++*arrivals;
        HttpResponse response;
        response.headers = validAnswerHeaders(exchange);
        response.body = "answer";
        co_await exchange.respond(std::move(response));
    };
}

constexpr int lastEvent = 4;

/// What an endpoint does with a request.
enum class Manner { Serve, Break, Refuse, Fail, Doubt };

struct Paths {
    int firstChoices = 0;
    int laterChoices = 0;
    int resumptions = 0;
    int escalations = 0;
    int sessions = 0;
};

/// A random fleet: endpoints in random failure domains that change the evacuations while they answer, and record each request that reaches
/// one of them though its domain is evacuated or outside a home region at that moment.
class RandomFleet
{
public:
    RandomFleet()
    {
        this->entry.state.settings.retryRatio = 10;
        this->entry.state.setRetryAllowance(1000);
        for (const std::string &domain : domains) {
            if (*rc::gen::inRange(0, 4) > 0) {
                this->entry.state.failureDomains.regions[domain] = *rc::gen::elementOf(regions);
            }
        }
        const bool hasHome = *rc::gen::arbitrary<bool>();
        this->routeHome = hasHome ? *rc::gen::container<Names>(rc::gen::elementOf(regions)) : Names();
        this->accountHome = hasHome ? *rc::gen::container<Names>(rc::gen::elementOf(regions)) : Names();
        const int count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i) {
            const std::string id = "e" + std::to_string(i);
            this->entry.addEndpoint(id, [this, id](HttpExchange &exchange) { return this->serve(exchange, id); });
            moveEndpoint(this->entry.state, id, *rc::gen::elementOf(domains), *rc::gen::element<std::string>("v1", "v2"));
        }
        if (*rc::gen::arbitrary<bool>()) {
            const RolloutOrder order {"pool", "v2", 10s, *rc::gen::element(RolloutState::InProgress, RolloutState::Completed, RolloutState::Reverted), 3};
            this->entry.state.versions.setOrder(order, monotonicNow() - *rc::gen::element<Duration>(1s, 9s));
        }
        Route route = makeRoute(*rc::gen::element(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::ResumableStream, RepeatRule::Stream), 4);
        route.homeRegions = this->routeHome;
        if (*rc::gen::arbitrary<bool>()) {
            route.models = {"m0", "m1", "m2"};
        }
        this->rule = route.repeatRule;
        setRoute(this->entry.state, std::move(route), this->accountHome);
    }

    void playRequest(int number)
    {
        this->changeEvacuations();
        this->steps = *rc::gen::container<std::vector<std::pair<Manner, std::uint32_t>>>(
            8,
            rc::gen::pair(rc::gen::element(Manner::Serve, Manner::Break, Manner::Break, Manner::Refuse, Manner::Fail, Manner::Doubt),
                          rc::gen::inRange<std::uint32_t>(0, 12)));
        this->step = 0;
        const std::vector<const EndpointEntry *> ready = this->entry.state.endpoints.ready("pool");
        const bool isAnyAllowed = std::any_of(ready.begin(), ready.end(), [this](const EndpointEntry *endpoint) { return this->isAllowed(*endpoint); });
        HttpHeaders headers = accountHeaders("id" + std::to_string(number));
        if (*rc::gen::arbitrary<bool>()) {
            headers.push_back({"Session", "s" + std::to_string(*rc::gen::inRange(0, 3))});
        }
        const HttpResponse answer = this->entry.send(std::move(headers));
        if (!isAnyAllowed) {
            RC_ASSERT(this->step == 0U);
            RC_ASSERT(answer.status == 503);
            RC_ASSERT(!headerValue(answer.headers, "Retry-After").empty());
            ++this->refusals;
        }
        RC_ASSERT(this->violations == Names());
    }

    int refusals = 0;
    /// Arrivals by the path that led to them.
    Paths paths;

private:
    static inline const Names domains = {"a", "b", "c"};
    static inline const Names regions = {"north", "south"};

    bool isAllowed(const EndpointEntry &endpoint) const
    {
        const FailureDomains &known = this->entry.state.failureDomains;
        if (known.evacuated.contains(endpoint.failureDomain)) {
            return false;
        }
        for (const Names &home : {this->routeHome, this->accountHome}) {
            const auto region = known.regions.find(endpoint.failureDomain);
            if (!home.empty() && (region == known.regions.end() || std::find(home.begin(), home.end(), region->second) == home.end())) {
                return false;
            }
        }
        return true;
    }

    void changeEvacuations()
    {
        const auto evacuated = *rc::gen::inRange(0, 3);
        for (std::size_t i = 0; i < domains.size(); ++i) {
            setEvacuated(this->entry.state, domains[i], evacuated > 0 && *rc::gen::inRange(0, 3) == 0);
        }
    }

    awaitable<void> serve(HttpExchange &exchange, std::string id)
    {
        const EndpointEntry endpoint = *this->entry.state.endpoints.find(id);
        if (!this->isAllowed(endpoint)) {
            this->violations.push_back(headerValue(exchange.request().headers, "X-Attempt-Id") + " at " + id + " in " + endpoint.failureDomain);
        }
        const auto [manner, change] = this->steps[std::min(this->step, this->steps.size() - 1)];
        const HttpHeaders &headers = exchange.request().headers;
        const std::string model = headerValue(headers, "X-Model");
        ++(this->step > 0 ? this->paths.laterChoices : this->paths.firstChoices);
        this->paths.resumptions += headerValue(headers, "Last-Event-Id").empty() ? 0 : 1;
        this->paths.escalations += model == "m1" || model == "m2" ? 1 : 0;
        this->paths.sessions += headerValue(headers, "Session").empty() ? 0 : 1;
        ++this->step;
        // An evacuation begins or ends while the request is at the endpoint, half of the time that of its own domain.
        const std::string &domain = change < 6 ? endpoint.failureDomain : domains[change % domains.size()];
        if (change % 3 != 0) {
            setEvacuated(this->entry.state, domain, change % 3 == 1);
        }
        HttpResponse response;
        response.headers = validAnswerHeaders(exchange);
        const bool isStreamed = isStream(this->rule);
        switch (manner) {
        case Manner::Refuse:
            response.status = 503;
            response.headers.push_back({"X-Not-Executed", "1"});
            co_await exchange.respond(std::move(response));
            co_return;
        case Manner::Fail:
            response.status = 500;
            co_await exchange.respond(std::move(response));
            co_return;
        case Manner::Doubt:
            response.headers.push_back({"X-Confidence", "30"});
            break;
        case Manner::Break:
            if (!isStreamed) {
                exchange.abort();
                co_return;
            }
            break;
        case Manner::Serve:
            break;
        }
        if (!isStreamed) {
            response.body = "answer";
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const std::string after = headerValue(exchange.request().headers, "Last-Event-Id");
        co_await exchange.startStream(200, std::move(response.headers));
        for (int number = after.empty() ? 1 : std::stoi(after) + 1; number <= lastEvent; ++number) {
            if (manner == Manner::Break && number == lastEvent) {
                exchange.abort();
                co_return;
            }
            co_await exchange.writeChunk(event(number));
        }
        co_await exchange.finishStream();
    }

    EntryFixture entry;
    Names routeHome;
    Names accountHome;
    RepeatRule rule = RepeatRule::Idempotent;
    std::vector<std::pair<Manner, std::uint32_t>> steps;
    std::size_t step = 0;
    Names violations;
};
} // namespace

TEST_CASE("No request reaches an endpoint that is forbidden when it is chosen, on any path", "[placement]")
{
    // Guards against EVAC and HOME on the first choice, a retry, a resumption, an escalation and a request of a session on a version under trial.
    int refusals = 0;
    Paths paths;
    CHECK(rc::check([&] {
        RandomFleet fleet;
        for (int number = 0; number < 20; ++number) {
            fleet.playRequest(number);
        }
        refusals += fleet.refusals;
        paths.firstChoices += fleet.paths.firstChoices;
        paths.laterChoices += fleet.paths.laterChoices;
        paths.resumptions += fleet.paths.resumptions;
        paths.escalations += fleet.paths.escalations;
        paths.sessions += fleet.paths.sessions;
    }));
    // The cases must come to what they check.
    CHECK(refusals > 20);
    CHECK(paths.firstChoices > 50);
    CHECK(paths.laterChoices > 50);
    CHECK(paths.resumptions > 5);
    CHECK(paths.escalations > 5);
    CHECK(paths.sessions > 20);
}

TEST_CASE("A request without an allowed endpoint is refused at once as not run, with the cause", "[placement]")
{
    // Guards against a request that waits for its deadline, or is refused without a cause.
    EntryFixture entry;
    entry.state.failureDomains.regions = {{"a", "north"}, {"b", "south"}};
    int arrivals = 0;
    for (const std::string id : {"e1", "e2"}) {
        entry.addEndpoint(id, plainAnswer(&arrivals));
    }
    moveEndpoint(entry.state, "e2", "b");
    Route route = makeRoute(RepeatRule::Idempotent, 3);
    route.homeRegions = {"north"};
    setRoute(entry.state, route);
    setEvacuated(entry.state, "a", true);
    const MonotonicTime start = monotonicNow();
    const HttpResponse evacuated = entry.send(accountHeaders("id1"));
    CHECK(evacuated.status == 503);
    CHECK(evacuated.body.find("failure_domain_evacuated") != std::string::npos);
    CHECK(std::stod(headerValue(evacuated.headers, "Retry-After")) > 0);
    route.homeRegions = {"west"};
    setRoute(entry.state, route);
    CHECK(entry.send(accountHeaders("id2")).body.find("outside_home_regions") != std::string::npos);
    entry.state.failureDomains.regions.clear();
    CHECK(entry.send(accountHeaders("id3")).body.find("region_unknown") != std::string::npos);
    CHECK(monotonicNow() - start < 1s);
    CHECK(arrivals == 0);
    route.homeRegions.clear();
    setRoute(entry.state, route);
    CHECK(entry.send(accountHeaders("id4")).status == 200);
    setEvacuated(entry.state, "b", true);
    CHECK(entry.send(accountHeaders("id5")).status == 503);
    setEvacuated(entry.state, "a", false);
    CHECK(entry.send(accountHeaders("id6")).status == 200);
    CHECK(arrivals == 2);
}

TEST_CASE("A stream at a failure domain that is evacuated meanwhile is finished where it is", "[placement]")
{
    // Guards against an evacuation that breaks answers off.
    EntryFixture entry;
    setRoute(entry.state, makeRoute(RepeatRule::ResumableStream, 3));
    int arrivals = 0;
    const auto evacuateAndStream = [&](HttpExchange &exchange) -> awaitable<void> {
        ++arrivals;
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        co_await exchange.writeChunk(event(1));
        setEvacuated(entry.state, "a", true);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 300ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await exchange.writeChunk(event(2));
        co_await exchange.finishStream();
    };
    entry.addEndpoint("e1", evacuateAndStream);
    entry.addEndpoint("e2", evacuateAndStream);
    const HttpResponse answer = entry.send(accountHeaders("id1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == event(1) + event(2));
    CHECK(arrivals == 1);
}

TEST_CASE("A stream that breaks off at an evacuated failure domain goes on in another one", "[placement]")
{
    // Guards against EVAC by a resumption.
    EntryFixture entry;
    setRoute(entry.state, makeRoute(RepeatRule::ResumableStream, 3));
    int broken = 0;
    int resumed = 0;
    const auto breakOff = [&](HttpExchange &exchange) -> awaitable<void> {
        ++broken;
        setEvacuated(entry.state, "a", true);
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        co_await exchange.writeChunk(event(1));
        exchange.abort();
    };
    const auto resume = [&](HttpExchange &exchange) -> awaitable<void> {
        ++resumed;
        setEvacuated(entry.state, "a", true);
        co_await exchange.startStream(200, validAnswerHeaders(exchange));
        const bool isWhole = headerValue(exchange.request().headers, "Last-Event-Id").empty();
        std::string events = isWhole ? event(1) + event(2) : event(2);
        co_await exchange.writeChunk(std::move(events));
        co_await exchange.finishStream();
    };
    for (const std::string id : {"e1", "e2", "e3"}) {
        entry.addEndpoint(id, breakOff);
    }
    entry.addEndpoint("f1", resume);
    moveEndpoint(entry.state, "f1", "b");
    for (int i = 0; i < 8; ++i) {
        setEvacuated(entry.state, "a", false);
        const HttpResponse answer = entry.send(accountHeaders("id" + std::to_string(i)));
        CHECK(answer.status == 200);
        CHECK(answer.body == event(1) + event(2));
    }
    CHECK(resumed == 8);
    CHECK(broken <= 8);
}

TEST_CASE("A failure domain gets requests again when its evacuation ends", "[placement]")
{
    EntryFixture entry;
    setRoute(entry.state, makeRoute(RepeatRule::NonIdempotent, 1));
    int arrivals = 0;
    entry.addEndpoint("e1", plainAnswer(&arrivals));
    for (int i = 0; i < 3; ++i) {
        setEvacuated(entry.state, "a", true);
        CHECK(entry.send(accountHeaders("no" + std::to_string(i))).status == 503);
        setEvacuated(entry.state, "a", false);
        CHECK(entry.send(accountHeaders("yes" + std::to_string(i))).status == 200);
    }
    CHECK(arrivals == 3);
}
