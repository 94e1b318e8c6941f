#include "Deployment.h"

#include "LibCore/Digest.h"

#include <boost/filesystem.hpp>
#include <catch2/catch.hpp>

#include <fstream>

namespace Godwitfork
{

namespace
{
const std::string siteName = "norrland";
constexpr Microunits promptPrice = 500;
constexpr Microunits completionPrice = 1500;

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream stream(path);
    stream << text;
}
} // namespace

Deployment::Deployment()
{
    const auto path = boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-%%%%%%%%");
    boost::filesystem::create_directories(path);
    this->folder = path.string();
    writeFile(this->folder + "/session.key", "integration-session-key");
    writeFile(this->folder + "/peer.key", "integration-peer-key");
    this->storeProcess = std::make_unique<ChildProcess>("standin-store", std::vector<std::string> {});
    ClientAccount account;
    account.name = "workshop";
    account.keyHashes.push_back(sha256Hex("workshop-key"));
    this->site().accounts[account.name] = account;
    this->site().operatorKeyHashes.push_back(sha256Hex("operator-key"));
}

Deployment::~Deployment()
{
    boost::system::error_code ignored;
    boost::filesystem::remove_all(this->folder, ignored);
}

ChildProcess &Deployment::addEngine(const std::string &name, const std::vector<std::string> &serves, std::vector<std::string> options)
{
    options.insert(options.end(), {"--name", name});
    for (const std::string &served : serves) {
        options.insert(options.end(), {"--serves", served});
    }
    this->engines.push_back(std::make_unique<ChildProcess>("standin-engine", options));
    Endpoint endpoint;
    endpoint.name = name;
    endpoint.address = toText(this->engines.back()->address());
    endpoint.failureDomain = "domain-" + std::to_string(this->engines.size());
    endpoint.serves = serves;
    this->site().endpoints[name] = endpoint;
    return *this->engines.back();
}

ChildProcess &Deployment::addService(const std::string &name, Idempotency idempotency, std::vector<std::string> options)
{
    options.insert(options.end(), {"--name", name});
    this->services.push_back(std::make_unique<ChildProcess>("standin-service", options));
    Endpoint endpoint;
    endpoint.name = name + "-endpoint";
    endpoint.address = toText(this->services.back()->address());
    endpoint.failureDomain = "domain-1";
    endpoint.serves.push_back(name);
    this->site().endpoints[endpoint.name] = endpoint;
    this->site().services[name] = {name, idempotency, 100};
    this->site().accounts["workshop"].services.push_back(name);
    return *this->services.back();
}

ChildProcess &Deployment::addRouter(const std::string &instance, const std::string &extraSettings)
{
    const std::string file = this->folder + "/" + instance + ".yaml";
    writeFile(file,
              "instance: " + instance + "\nsite: " + siteName + "\nfailure_domain: domain-" + std::to_string(this->routers.size() + 1)
                  + "\nlisten: 127.0.0.1:0\nstore: " + toText(this->storeProcess->address()) + "\nsession_key_file: " + this->folder
                  + "/session.key\nbalancer_delay_ms: 50\npeer_listen: 127.0.0.1:0\npeer_key_file: " + this->folder + "/peer.key\n" + extraSettings);
    this->routers.push_back(std::make_unique<ChildProcess>("godwitfork-router", std::vector<std::string> {"--settings", file}));
    return *this->routers.back();
}

void Deployment::addVersion(const std::string &model, const std::string &version, VersionState state)
{
    Model &entry = this->site().models[model];
    entry.name = model;
    entry.versions.push_back({version, state, promptPrice, completionPrice});
    ClientAccount &account = this->site().accounts["workshop"];
    if (!isModelAllowed(account, model)) {
        account.models.push_back({model, {}});
    }
}

std::uint64_t Deployment::apply()
{
    const auto response = callOnce(this->storeProcess->address(), makeRequest("PUT", "/v1/objects/configuration%2Fcurrent", toJson(this->configuration)));
    REQUIRE(response);
    REQUIRE(response.value().status == 200);
    return nlohmann::json::parse(response.value().body).at("version").get<std::uint64_t>();
}

bool Deployment::waitForRevision(std::uint64_t revision, Duration limit)
{
    const std::string line = "godwitfork_configuration_revision " + std::to_string(revision);
    return waitUntil(
        [&] {
            for (std::size_t i = 0; i < this->routers.size(); ++i) {
                const auto metrics = callOnce(this->router(i), makeRequest("GET", "/metrics"));
                const auto ready = callOnce(this->router(i), makeRequest("GET", "/readyz"));
                if (!metrics || metrics.value().body.find(line) == std::string::npos || !ready || ready.value().status != 200) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

ChildProcess &Deployment::store()
{
    return *this->storeProcess;
}

SiteConfiguration &Deployment::site()
{
    return this->configuration.sites[siteName];
}

HttpAddress Deployment::router(std::size_t index) const
{
    return this->routers.at(index)->address();
}

ChildProcess &Deployment::routerProcess(std::size_t index)
{
    return *this->routers.at(index);
}

HttpRequest Deployment::chatRequest(const std::string &model, const std::string &prompt, bool streamed) const
{
    const nlohmann::json body {{"model", model}, {"stream", streamed}, {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return makeRequest("POST", "/v1/chat/completions", body.dump(), {{"Authorization", "Bearer workshop-key"}});
}

std::map<std::string, nlohmann::json> Deployment::billingRecords()
{
    std::map<std::string, nlohmann::json> records;
    std::string after;
    do {
        const auto page = readJson(this->storeProcess->address(), "/v1/list?prefix=ledger%2F&after=" + percentEncode(after));
        for (const auto &object : page.at("objects")) {
            for (const auto &record : object.at("value").at("records")) {
                const auto id = record.at("request_id").get<std::string>();
                const auto [position, isNew] = records.emplace(id, record);
                // Copies of one record may be stored twice; they must agree on what is billed.
                if (!isNew) {
                    CHECK(position->second == record);
                }
            }
        }
        after = page.at("next").get<std::string>();
    } while (!after.empty());
    return records;
}

std::vector<nlohmann::json> Deployment::executions()
{
    std::vector<nlohmann::json> all;
    for (const auto &engine : this->engines) {
        const auto answer = readJson(engine->address(), "/executions");
        all.insert(all.end(), answer.at("executions").begin(), answer.at("executions").end());
    }
    return all;
}

void Deployment::setStoreFault(const nlohmann::json &fault)
{
    putJson(this->storeProcess->address(), "/control/fault", fault);
}

} // namespace Godwitfork
