#include "EntryUnderTest.h"

#include "ProcessWatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/filesystem.hpp>

#include <cstdio>
#include <fstream>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration ordinaryLimit = std::chrono::seconds(30);
constexpr Duration callLimit = std::chrono::seconds(5);
constexpr Duration repeatPause = std::chrono::milliseconds(100);

HttpResponse refusal(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

HttpAddress freeAddress()
{
    Asio::io_context context;
    const Asio::ip::tcp::acceptor acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

HttpServerLimits endpointLimits()
{
    HttpServerLimits limits;
    // An endpoint that rejects what the entry passes on would count as failing.
    limits.maxHeaderBytes = std::uint32_t {64} * 1024;
    limits.maxBodyBytes = std::uint64_t {8} * 1024 * 1024;
    return limits;
}
} // namespace

EntryUnderTest::EntryUnderTest(long memoryMb, int descriptors)
    : callers(freeAddress())
    , readiness(freeAddress())
    , peers(freeAddress())
    , metrics(freeAddress())
    , client(this->context)
    , store(this->context)
    , endpoint(
          this->context,
          {"127.0.0.1", 0},
          endpointLimits(),
          [this](HttpExchange &exchange) { return this->answer(exchange); },
          refusal)
    , settingsFile((boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-callers-%%%%%%%%.yaml")).string())
{
    this->endpoint.start();
    this->store.put("config",
                    "main",
                    {{"version", 1},
                     {"routes",
                      {{{"name", "order"},
                        {"host", "h.example"},
                        {"pathPrefix", "/"},
                        {"type", "non_idempotent"},
                        {"resumable", false},
                        {"timeoutMs", 4000},
                        {"targetLatencyMs", 4000},
                        {"targetItlMs", 4000},
                        {"service", "pool"},
                        {"maxAttempts", 1}}}},
                     {"services", {{{"name", "pool"}, {"healthPath", "/healthz"}}}},
                     {"tenants", {{{"name", "shop"}, {"apiKeys", {"key"}}}, {{"name", "crowd"}, {"apiKeys", {"crowd-key"}}}}},
                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}});
    this->store.put("servers",
                    "e0",
                    {{"service", "pool"},
                     {"address", toText(this->endpoint.address())},
                     {"zone", "a"},
                     {"version", "v1"},
                     {"slots", 64},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", 1},
                     {"born", 1}});
    std::ofstream(this->settingsFile) << "instance: entry-0\nfailure_domain: a\nlisten: " << toText(this->callers)
                                      << "\nreadiness_listen: " << toText(this->readiness) << "\npeer_listen: " << toText(this->peers)
                                      << "\nmetrics_listen: " << toText(this->metrics) << "\nstore: " << toText(this->store.address())
                                      << "\nmemory_limit_mb: " << memoryMb << "\nseeds: [" << toText(this->peers) << "]\n";
    const DescriptorLimit limit(descriptors);
    this->process = std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", this->settingsFile});
}

EntryUnderTest::~EntryUnderTest()
{
    this->process.reset();
    std::remove(this->settingsFile.c_str());
}

Asio::awaitable<void> EntryUnderTest::answer(HttpExchange &exchange)
{
    HttpResponse response = jsonResponse(200, "{}");
    response.headers.push_back({"X-Attempt-Id", headerValue(exchange.request().headers, "X-Attempt-Id")});
    response.headers.push_back({"X-Response-Signature", "signed"});
    co_await exchange.respond(std::move(response));
}

bool EntryUnderTest::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const MonotonicTime end = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() >= end) {
            return false;
        }
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(10));
    }
    return true;
}

int EntryUnderTest::sendOnce()
{
    const HttpHeaders headers = {
        {"Host", "h.example"}, {"Authorization", "Bearer key"}, {"X-Attempt-Id", "ordinary-" + std::to_string(++this->sent)}, {"X-Deadline-Ms", "4000"}};
    auto status = std::make_shared<int>(-1);
    Asio::co_spawn(
        this->context,
        [this, headers, status]() -> Asio::awaitable<void> {
            HttpCallOptions options;
            options.responseTimeout = callLimit;
            options.reuse = ConnectionReuse::Never;
            HttpRequest request = makeRequest("POST", "/order", "body", headers);
            auto result = co_await this->client.call(this->callers, std::move(request), std::move(options));
            *status = result ? result.value().status : 0;
        },
        Asio::detached);
    this->runUntil([&] { return *status >= 0; }, 2 * callLimit);
    return *status;
}

bool EntryUnderTest::answersOrdinaryRequest()
{
    const MonotonicTime end = monotonicNow() + ordinaryLimit;
    while (monotonicNow() < end) {
        if (this->sendOnce() == 200) {
            return true;
        }
        this->runUntil([] { return false; }, repeatPause);
    }
    return false;
}

} // namespace Godwitfork
