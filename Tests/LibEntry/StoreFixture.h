#pragma once

#include "EvacuationFixture.h"
#include "LibEntry/EntryMetrics.h"
#include "LibEntry/RequestRun.h"
#include "LibEntry/RolloutController.h"
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

/// An entry that follows the store or a hub, serves callers and writes the states of roll-outs.
struct ServingInstance {
    ServingInstance(boost::asio::io_context &context,
                    HttpClient &client,
                    const HttpAddress &store,
                    EntrySettings settings,
                    std::function<std::optional<HttpAddress>()> chooseHub);

    RelayedInstance relayed;
    EntryMetrics metrics;
    PeerExchange peers;
    RolloutController rollouts;
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
    /// Starts an endpoint of the service `pool` in the failure domain `a` and registers it.
    void addEndpoint(const std::string &id, const std::string &version = "v1");
    /// Writes the registration of an endpoint.
    void registerEndpoint(const std::string &id, const std::string &state = "ready");
    /// Writes a configuration with one route to `pool`; without `accounts` it has no such field. Each account has the key `key-NAME`.
    void configure(int version, const std::optional<nlohmann::json> &accounts, bool isPublic = false);
    /// Writes objects that no entry reads, so that the revision rises to `revision` or more.
    void raiseRevision(std::uint64_t revision);
    void run(Duration time);

    /// Orders a roll-out of `pool` that may take a long time. Without `state`, the order has no status.
    void orderRollout(const std::string &target, const std::string &state = "");

    /// Sends a request with an `Authorization` header, if it is not empty, and returns the status of the answer.
    int send(ServingInstance &instance, const std::string &authorization);
    /// Sends requests at the same time and returns the statuses of their answers.
    std::vector<int> sendTogether(ServingInstance &instance, const std::string &authorization, std::size_t count);

    boost::asio::io_context context;
    HttpClient client;
    StoreStandIn store;
    /// Requests that endpoints ran, with the account that they were told.
    std::vector<std::string> accountsOfRuns;
    /// Endpoints that ran them.
    std::vector<std::string> endpointsOfRuns;

private:
    struct Endpoint {
        std::unique_ptr<HttpServer> server;
        std::string version;
        int sequence = 0;
    };

    boost::asio::awaitable<void> serveEndpoint(std::string id, HttpExchange &exchange);
    boost::asio::awaitable<void> runPeriodicTasks(ServingInstance &instance);

    std::map<std::string, Endpoint> endpoints;
    std::vector<std::unique_ptr<ServingInstance>> instances;
    int sent = 0;
};

/// The configuration's list of accounts with these names.
nlohmann::json accountList(const std::vector<std::string> &names);

} // namespace Godwitfork
