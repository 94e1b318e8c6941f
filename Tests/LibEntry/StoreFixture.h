#pragma once

#include "EvacuationFixture.h"
#include "LibEntry/EntryMetrics.h"
#include "LibEntry/RequestRun.h"
#include "StoreStandIn.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Time within which changes of the store must be in force.
constexpr Duration changeLimit = std::chrono::seconds(2);

/// An entry that follows the store or a hub and serves callers.
struct ServingInstance {
    ServingInstance(boost::asio::io_context &context,
                    HttpClient &client,
                    const HttpAddress &store,
                    EntrySettings settings,
                    std::function<std::optional<HttpAddress>()> chooseHub);

    RelayedInstance relayed;
    EntryMetrics metrics;
    EntryContext requestContext;
    HttpServer callers;
};

/// A store that can return from a copy, endpoints that register there, and entries that serve callers.
class StoreFixture
{
public:
    StoreFixture();

    /// Starts an entry. It follows `hub`, if that is set, or the store.
    ServingInstance &addInstance(const std::optional<HttpAddress> &hub = std::nullopt);
    /// Starts an endpoint of the service `pool` and registers it.
    void addEndpoint(const std::string &id);
    /// Writes the registration of an endpoint.
    void registerEndpoint(const std::string &id, const std::string &state = "ready");
    /// Writes a configuration with one route to `pool`; without `accounts` it has no such field. Each account has the key `key-NAME`.
    void configure(int version, const std::optional<nlohmann::json> &accounts, bool isPublic = false);
    /// Writes objects that no entry reads, so that the revision rises to `revision` or more.
    void raiseRevision(std::uint64_t revision);
    void run(Duration time);

    /// Sends a request with an `Authorization` header, if it is not empty, and returns the status of the answer.
    int send(ServingInstance &instance, const std::string &authorization);

    boost::asio::io_context context;
    HttpClient client;
    StoreStandIn store;
    /// Requests that endpoints ran, with the account that they were told.
    std::vector<std::string> accountsOfRuns;

private:
    struct Endpoint {
        std::unique_ptr<HttpServer> server;
        int sequence = 0;
    };

    boost::asio::awaitable<void> serveEndpoint(HttpExchange &exchange);
    boost::asio::awaitable<void> expireEndpointsOf(ServingInstance &instance);

    std::map<std::string, Endpoint> endpoints;
    std::vector<std::unique_ptr<ServingInstance>> instances;
    int sent = 0;
};

/// The configuration's list of accounts with these names.
nlohmann::json accountList(const std::vector<std::string> &names);

} // namespace Godwitfork
