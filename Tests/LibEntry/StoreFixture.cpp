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

EntrySettings instanceSettings()
{
    EntrySettings settings;
    settings.failureDomain = "a";
    settings.drainLimit = changeLimit;
    settings.configurationLimit = changeLimit;
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
        this->context, [this, &instance] { return this->expireEndpointsOf(instance); }, Asio::detached);
    return instance;
}

Asio::awaitable<void> StoreFixture::expireEndpointsOf(ServingInstance &instance)
{
    while (true) {
        co_await pause(tickInterval);
        expireEndpoints(instance.relayed.state, monotonicNow());
    }
}

void StoreFixture::addEndpoint(const std::string &id)
{
    Endpoint &endpoint = this->endpoints[id];
    endpoint.server = std::make_unique<HttpServer>(
        this->context, anyPort, HttpServerLimits {}, [this](HttpExchange &exchange) { return this->serveEndpoint(exchange); }, refuseConnection);
    endpoint.server->start();
    this->registerEndpoint(id);
}

Asio::awaitable<void> StoreFixture::serveEndpoint(HttpExchange &exchange)
{
    this->accountsOfRuns.push_back(headerValue(exchange.request().headers, "X-Tenant"));
    HttpResponse response;
    response.headers = validAnswerHeaders(exchange);
    response.body = "done";
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
                     {"version", "v1"},
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
    HttpHeaders headers = callerHeaders("request-" + std::to_string(++this->sent));
    if (!authorization.empty()) {
        headers.push_back({"Authorization", authorization});
    }
    std::optional<int> status;
    auto call = [&, address = instance.callers.address()]() -> Asio::awaitable<void> {
        const auto answer = co_await this->client.call(address, makeRequest("POST", "/a/b", "body", headers), {});
        status = answer ? answer.value().status : 0;
    };
    Asio::co_spawn(this->context, std::move(call), Asio::detached);
    while (!status) {
        this->context.run_one();
    }
    return *status;
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
