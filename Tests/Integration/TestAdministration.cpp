#include "Deployment.h"
#include "LibCore/Digest.h"

#include <boost/filesystem.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sys/wait.h>
#include <thread>

using namespace Godwitfork;

namespace
{
const std::string operatorKey = "operator-key";

struct CommandResult {
    int exitCode = -1;
    std::string output;
};

/// A deployment whose routers serve the administration API.
struct Administered {
    Deployment deployment;
    std::vector<HttpAddress> servers;

    void start(int routers)
    {
        this->deployment.addVersion("blazon", "1.0");
        this->deployment.addVersion("blazon", "1.1");
        this->deployment.addEngine("engine-1", {"blazon:1.0", "blazon:1.1"});
        for (int i = 0; i < routers; ++i) {
            const auto &router = this->deployment.addRouter(
                "router-" + std::to_string(i + 1), "administration_listen: 127.0.0.1:0\nadministration_key_hashes: [" + sha256Hex(operatorKey) + "]\n");
            this->servers.push_back(parseHttpAddress(router.listeningEvent().at("administration_address").get<std::string>()));
        }
    }

    HttpResponse call(std::size_t server, const std::string &method, const std::string &target, const nlohmann::json &body = nullptr)
    {
        const std::string text = body.is_null() ? std::string() : body.dump();
        const auto response = callOnce(this->servers.at(server), makeRequest(method, target, text, {{"Authorization", "Bearer " + operatorKey}}));
        REQUIRE(response);
        return response.value();
    }

    nlohmann::json applyBody(const std::string &token, std::uint64_t basedOn, Microunits budget)
    {
        Configuration configuration;
        configuration.sites["norrland"] = this->deployment.site();
        configuration.sites["norrland"].accounts["workshop"].monthlyBudget = budget;
        return {{"token", "integration-token-" + token}, {"based_on", basedOn}, {"configuration", nlohmann::json::parse(toJson(configuration))}};
    }

    std::uint64_t apply(const std::string &token, std::uint64_t basedOn, Microunits budget)
    {
        const HttpResponse response = this->call(0, "POST", "/v1/configuration", this->applyBody(token, basedOn, budget));
        INFO(response.body);
        REQUIRE(response.status == 200);
        return nlohmann::json::parse(response.body).at("revision").get<std::uint64_t>();
    }

    CommandResult control(const std::string &arguments)
    {
        const std::string keyFile = (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-key-%%%%%%%%")).string();
        std::ofstream(keyFile) << operatorKey << "\n";
        std::string command = std::string(std::getenv("GODWITFORK_BIN")) + "/godwitforkctl " + arguments + " --key-file " + keyFile;
        for (const HttpAddress &server : this->servers) {
            command += " --server " + toText(server);
        }
        CommandResult result;
        std::FILE *pipe = popen((command + " 2>&1").c_str(), "r");
        REQUIRE(pipe != nullptr);
        char buffer[4096];
        std::size_t length = 0;
        while ((length = std::fread(buffer, 1, sizeof(buffer), pipe)) > 0) {
            result.output.append(buffer, length);
        }
        const int status = pclose(pipe);
        result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        std::remove(keyFile.c_str());
        return result;
    }
};

std::int64_t nowMicroseconds()
{
    return wallNow().time_since_epoch().count();
}

/// Sends requests to every router until it is destroyed, so that a withdrawal happens under traffic.
class Traffic
{
public:
    explicit Traffic(Deployment &deployment, std::size_t routers)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            const HttpAddress address = deployment.router(i);
            const HttpRequest request = deployment.chatRequest("blazon", "Azure");
            this->threads.emplace_back([this, address, request] {
                while (!this->isDone) {
                    const auto response = callOnce(address, request);
                    ++(response && response.value().status == 200 ? this->answered : this->refused);
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
        }
    }
    ~Traffic()
    {
        this->isDone = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    std::atomic<int> answered {0};
    std::atomic<int> refused {0};

private:
    std::atomic<bool> isDone {false};
    std::vector<std::thread> threads;
};
} // namespace

// Guards against two operators both being told that their conflicting change is stored, and against a change that is lost.
TEST_CASE("Of two operators who race exactly one wins each round and nothing is lost")
{
    Administered site;
    site.start(2);
    std::uint64_t revision = site.apply("first", 0, 1);
    std::vector<std::uint64_t> winners {revision};
    for (int round = 0; round < 10; ++round) {
        std::array<HttpResponse, 2> answers;
        std::vector<std::thread> operators;
        for (std::size_t i = 0; i < 2; ++i) {
            const auto body = site.applyBody(std::to_string(round) + "-" + std::to_string(i), revision, 100 + static_cast<Microunits>(i));
            operators.emplace_back([&, i, body] {
                const auto response =
                    callOnce(site.servers[i], makeRequest("POST", "/v1/configuration", body.dump(), {{"Authorization", "Bearer " + operatorKey}}));
                answers[i] = response ? response.value() : HttpResponse {0, {}, ""};
            });
        }
        for (std::thread &thread : operators) {
            thread.join();
        }
        const std::size_t winner = answers[0].status == 200 ? 0 : 1;
        INFO(answers[0].body << answers[1].body);
        REQUIRE(answers[winner].status == 200);
        REQUIRE(answers[1 - winner].status == 409);
        revision = nlohmann::json::parse(answers[winner].body).at("revision").get<std::uint64_t>();
        const auto error = nlohmann::json::parse(answers[1 - winner].body).at("error");
        CHECK(error.at("code") == "conflict");
        CHECK(error.at("current_revision") == revision);
        winners.push_back(revision);
    }
    const auto history = nlohmann::json::parse(site.call(1, "GET", "/v1/configuration/history?limit=100").body).at("revisions");
    REQUIRE(history.size() == winners.size());
    for (std::size_t i = 0; i < winners.size(); ++i) {
        CHECK(history[i].at("revision") == winners[winners.size() - 1 - i]);
    }
}

// Guards against a change that is reported as failed although it took effect, or that is applied twice.
TEST_CASE("A configuration write whose answer is lost is acknowledged and stored once")
{
    Administered site;
    site.start(2);
    const std::uint64_t first = site.apply("first", 0, 1);
    site.deployment.setStoreFault({{"lost_write_answers", 1}, {"lost_prefix", "configuration/current"}});
    const std::uint64_t second = site.apply("second", first, 2);
    CHECK(site.apply("second", first, 2) == second);
    site.deployment.setStoreFault({{"lost_write_answers", 1}, {"lost_prefix", "configuration/current"}});
    const CommandResult withdrawn = site.control("withdraw blazon:1.1 --wait 10");
    INFO(withdrawn.output);
    CHECK(withdrawn.exitCode == 0);
    CHECK_THAT(withdrawn.output, Catch::Contains("in force on all instances"));
    const auto history = nlohmann::json::parse(site.call(0, "GET", "/v1/configuration/history").body).at("revisions");
    CHECK(history.size() == 3);
    const CommandResult late = site.control("withdraw blazon:1.0");
    CHECK(late.exitCode == 1);
    site.deployment.setStoreFault({{"outage", true}});
    CHECK(site.control("drain engine-1").exitCode == 3);
}

// Guards against a withdrawn version that goes on taking work on a router that learns of it late.
TEST_CASE("A withdrawal takes effect on every router within 5 s")
{
    const int storeDelay = GENERATE(0, 1000);
    constexpr std::int64_t limitMicroseconds = 5'000'000;
    Administered site;
    site.start(3);
    REQUIRE(site.deployment.waitForRevision(site.apply("first", 0, 1'000'000'000)));
    std::int64_t started = 0;
    std::int64_t acknowledged = 0;
    int answeredBefore = 0;
    int answeredAfter = 0;
    {
        Traffic traffic(site.deployment, 3);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        answeredBefore = traffic.answered;
        site.deployment.setStoreFault({{"delay_ms", storeDelay}});
        started = nowMicroseconds();
        const HttpResponse response =
            site.call(0, "POST", "/v1/versions", {{"token", "integration-token-withdraw"}, {"model", "blazon"}, {"version", "1.1"}, {"state", "withdrawn"}});
        acknowledged = nowMicroseconds();
        INFO(response.body);
        REQUIRE(response.status == 200);
        std::this_thread::sleep_for(std::chrono::seconds(7));
        answeredAfter = traffic.answered;
    }
    std::int64_t lastWithdrawn = 0;
    std::int64_t lastStable = 0;
    for (const auto &execution : site.deployment.executions()) {
        std::int64_t &last = execution.at("model") == "blazon:1.1" ? lastWithdrawn : lastStable;
        last = std::max(last, execution.at("started_us").get<std::int64_t>());
    }
    WARN("store delay " << storeDelay << " ms: request took " << (acknowledged - started) / 1000 << " ms, last execution on the withdrawn version "
                        << (lastWithdrawn - started) / 1000 << " ms after the request began; answers " << answeredBefore << " before, " << answeredAfter
                        << " in all");
    CHECK(lastWithdrawn > 0);
    CHECK(lastWithdrawn - started < limitMicroseconds);
    CHECK(lastStable > acknowledged + limitMicroseconds);
}
