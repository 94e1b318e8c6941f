#include "StoreFixture.h"

#include "EntryFixture.h"
#include "LibEntry/BodyAdmission.h"
#include "LibEntry/CatalogChanges.h"

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const HttpAddress anyPort {"127.0.0.1", 0};
constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration serviceTime = std::chrono::milliseconds(20);

EntrySettings instanceSettings()
{
    EntrySettings settings;
    settings.failureDomain = "a";
    settings.drainLimit = changeLimit;
    settings.configurationLimit = changeLimit;
    settings.evacuationLimit = changeLimit;
    settings.peers = anyPort;
    settings.retryRatio = 1;
    return settings;
}

Asio::awaitable<void> serveCaller(EntryContext &context, HttpExchange &exchange)
{
    RequestRun run(context, exchange);
    co_await run.run();
}
} // namespace

ServingInstance::ServingInstance(Asio::io_context &context,
                                 HttpClient &client,
                                 const HttpAddress &store,
                                 EntrySettings settings,
                                 std::function<std::optional<HttpAddress>()> chooseHub)
    : relayed(context, client, store, std::move(settings), std::move(chooseHub))
    , peers(context, client, this->relayed.state)
    , rollouts(context, this->relayed.state, this->metrics, this->relayed.catalog, this->peers)
    , requestContext {context, this->relayed.state, client, this->metrics}
    , callers(
          context,
          anyPort,
          {},
          [this](HttpExchange &exchange) { return serveCaller(this->requestContext, exchange); },
          refuseConnection)
{
    this->callers.setBodyAdmission([this](const HttpRequest &head) { return admitBody(this->relayed.state, head); });
    this->callers.start();
    this->relayed.state.setRetryAllowance(100);
}

StoreFixture::StoreFixture() : context(1), client(this->context), store(this->context)
{
}

ServingInstance &StoreFixture::addInstance(const std::optional<HttpAddress> &hub)
{
    const auto chooseHub = [hub] { return hub; };
    this->instances.push_back(std::make_unique<ServingInstance>(this->context, this->client, this->store.address(), instanceSettings(), chooseHub));
    ServingInstance &instance = *this->instances.back();
    Asio::co_spawn(
        this->context, [this, &instance] { return this->runPeriodicTasks(instance); }, Asio::detached);
    return instance;
}

Asio::awaitable<void> StoreFixture::runPeriodicTasks(ServingInstance &instance)
{
    while (true) {
        co_await pause(tickInterval);
        expireEndpoints(instance.relayed.state, monotonicNow());
        instance.rollouts.tick(monotonicNow());
    }
}

void StoreFixture::addEndpoint(const std::string &id, const std::string &version)
{
    Endpoint &endpoint = this->endpoints[id];
    endpoint.version = version;
    endpoint.server = std::make_unique<HttpServer>(
        this->context, anyPort, HttpServerLimits {}, [this, id](HttpExchange &exchange) { return this->serveEndpoint(id, exchange); }, refuseConnection);
    endpoint.server->start();
    this->registerEndpoint(id);
}

Asio::awaitable<void> StoreFixture::serveEndpoint(std::string id, HttpExchange &exchange)
{
    this->endpointsOfRuns.push_back(std::move(id));
    this->accountsOfRuns.push_back(headerValue(exchange.request().headers, "X-Tenant"));
    HttpResponse response;
    response.headers = validAnswerHeaders(exchange);
    response.body = "done";
    co_await pause(serviceTime);
    co_await exchange.respond(std::move(response));
}

void StoreFixture::registerEndpoint(const std::string &id, const std::string &state)
{
    Endpoint &endpoint = this->endpoints[id];
    ++endpoint.sequence;
    this->store.put("servers",
                    id,
                    {{"service", "pool"},
                     {"address", toText(endpoint.server->address())},
                     {"zone", "a"},
                     {"version", endpoint.version},
                     {"slots", 8},
                     {"state", state},
                     {"coldRemainingMs", 0},
                     {"sequence", endpoint.sequence},
                     {"born", 1}});
}

void StoreFixture::configure(int version, const std::optional<nlohmann::json> &accounts, bool isPublic)
{
    nlohmann::json spec = {{"version", version},
                           {"routes",
                            {{{"name", "r"},
                              {"host", "h.example"},
                              {"pathPrefix", "/"},
                              {"type", "idempotent"},
                              {"timeoutMs", 3000},
                              {"service", "pool"},
                              {"maxAttempts", 3},
                              {"public", isPublic}}}},
                           {"services", {{{"name", "pool"}, {"healthPath", "/healthz"}}}}};
    if (accounts) {
        spec["tenants"] = *accounts;
    }
    this->store.put("config", "main", std::move(spec));
}

void StoreFixture::orderRollout(const std::string &target, const std::string &state)
{
    constexpr int durationSeconds = 600;
    this->store.put("rollouts", "pool", {{"service", "pool"}, {"target", target}, {"durationS", durationSeconds}});
    if (!state.empty()) {
        this->store.putStatus("rollouts", "pool", {{"state", state}, {"target", target}});
    }
}

void StoreFixture::raiseRevision(std::uint64_t revision)
{
    while (this->store.revision() < revision) {
        this->store.put("other", "object", this->store.revision());
    }
}

void StoreFixture::run(Duration time)
{
    this->context.run_for(time);
}

int StoreFixture::send(ServingInstance &instance, const std::string &authorization)
{
    return this->sendTogether(instance, authorization, 1).front();
}

std::vector<int> StoreFixture::sendTogether(ServingInstance &instance, const std::string &authorization, std::size_t count)
{
    std::vector<int> statuses;
    auto call = [&, address = instance.callers.address()](HttpHeaders headers) -> Asio::awaitable<void> {
        const auto answer = co_await this->client.call(address, makeRequest("POST", "/a/b", "body", std::move(headers)), {});
        statuses.push_back(answer ? answer.value().status : 0);
    };
    for (std::size_t i = 0; i < count; ++i) {
        HttpHeaders headers = callerHeaders("request-" + std::to_string(++this->sent));
        if (!authorization.empty()) {
            headers.push_back({"Authorization", authorization});
        }
        Asio::co_spawn(this->context, call(std::move(headers)), Asio::detached);
    }
    while (statuses.size() < count) {
        this->context.run_one();
    }
    return statuses;
}

nlohmann::json accountList(const std::vector<std::string> &names)
{
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &name : names) {
        list.push_back({{"name", name}, {"apiKeys", {"key-" + name}}});
    }
    return list;
}

} // namespace Godwitfork
