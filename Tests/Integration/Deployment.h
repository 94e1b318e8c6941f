#pragma once

#include "ChildProcess.h"
#include "LibConfiguration/Configuration.h"
#include "TestClient.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A local deployment of real processes for one test: the store, engines, services and routers, with one site `norrland`.
/// The account `workshop` with the key `workshop-key` may use everything; tests change `configuration` before `apply`.
class Deployment
{
public:
    Deployment();
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts an engine that serves the given `model:version` names and adds it to the configuration as an endpoint.
    ChildProcess &addEngine(const std::string &name, const std::vector<std::string> &serves, std::vector<std::string> options = {});
    /// Starts a plain service and adds it as an endpoint.
    ChildProcess &addService(const std::string &name, Idempotency idempotency, std::vector<std::string> options = {});
    /// Starts a router in its own failure domain. Extra settings are lines of YAML.
    ChildProcess &addRouter(const std::string &instance, const std::string &extraSettings = {});
    /// Adds a stable version of a model with prices of 500 and 1500 microunits for 1000 tokens.
    void addVersion(const std::string &model, const std::string &version, VersionState state = VersionState::Stable);

    /// Writes the configuration to the store and returns its version.
    std::uint64_t apply();
    /// Waits until every router that runs has adopted the version.
    bool waitForRevision(std::uint64_t revision, Duration limit = std::chrono::seconds(10));

    ChildProcess &store();
    SiteConfiguration &site();
    HttpAddress router(std::size_t index) const;
    ChildProcess &routerProcess(std::size_t index);

    HttpRequest chatRequest(const std::string &model, const std::string &prompt, bool streamed = false) const;
    /// All billing records in the store, by request identity; a duplicate fails the test.
    std::map<std::string, nlohmann::json> billingRecords();
    /// Executions of all engines.
    std::vector<nlohmann::json> executions();
    void setStoreFault(const nlohmann::json &fault);

private:
    std::string folder;
    std::unique_ptr<ChildProcess> storeProcess;
    std::vector<std::unique_ptr<ChildProcess>> engines;
    std::vector<std::unique_ptr<ChildProcess>> services;
    std::vector<std::unique_ptr<ChildProcess>> routers;
    Configuration configuration;
};

} // namespace Godwitfork
