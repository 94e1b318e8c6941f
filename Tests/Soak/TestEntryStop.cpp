#include "ChildProcess.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "StoreStandIn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/filesystem.hpp>
#include <boost/process.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
namespace Process = boost::process;

namespace
{
HttpResponse refusal(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

std::uint16_t freePort()
{
    Asio::io_context context;
    Asio::ip::tcp::acceptor acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

std::string temporaryName(const std::string &suffix)
{
    return (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-stop-%%%%%%%%" + suffix)).string();
}

std::string settingsText(const HttpAddress &store, std::uint16_t callers)
{
    const std::string peers = "127.0.0.1:" + std::to_string(freePort());
    return "instance: entry-0\nfailure_domain: a\nlisten: 127.0.0.1:" + std::to_string(callers) + "\nreadiness_listen: 127.0.0.1:" + std::to_string(freePort())
        + "\npeer_listen: " + peers + "\nmetrics_listen: 127.0.0.1:" + std::to_string(freePort()) + "\nstore: " + toText(store)
        + "\nstop_limit_s: 4\nretry_ratio: 0.9\nretry_allowance: 50\nseeds: [" + peers + "]\n";
}

nlohmann::json route(const std::string &prefix, const std::string &type)
{
    return {{"name", prefix},
            {"host", "h.example"},
            {"pathPrefix", prefix},
            {"type", type},
            {"resumable", false},
            {"timeoutMs", 20000},
            {"targetLatencyMs", 5000},
            {"targetItlMs", 5000},
            {"service", "pool"},
            {"maxAttempts", 1}};
}

/// A real entry process with one endpoint, which answers nothing (`/order/`) or one event of a stream (`/stream/`), and then holds the request.
class StoppingEntry
{
public:
    StoppingEntry()
        : client(this->context)
        , store(this->context)
        , endpoint(
              this->context,
              {"127.0.0.1", 0},
              {},
              [this](HttpExchange &exchange) { return this->hold(exchange); },
              refusal)
        , callers {"127.0.0.1", freePort()}
        , settingsFile(temporaryName(".yaml"))
    {
        this->endpoint.start();
        this->store.put("config",
                        "main",
                        {{"version", 1},
                         {"routes", {route("/order/", "non_idempotent"), route("/repeat/", "idempotent"), route("/stream/", "streaming")}},
                         {"services", {{{"name", "pool"}, {"healthPath", "/healthz"}}}},
                         {"tenants", {{{"name", "shop"}, {"apiKeys", {"key"}}}}}});
        this->store.put("servers",
                        "e0",
                        {{"service", "pool"},
                         {"address", toText(this->endpoint.address())},
                         {"zone", "a"},
                         {"version", "v1"},
                         {"slots", 16},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"sequence", 1},
                         {"born", 1}});
        std::ofstream(this->settingsFile) << settingsText(this->store.address(), this->callers.port);
        this->process = std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", this->settingsFile});
    }

    ~StoppingEntry()
    {
        this->process.reset();
        std::remove(this->settingsFile.c_str());
    }

    /// Sends a request without waiting; `answer` gets its status, 0 if the connection ended before the answer was complete.
    void send(const std::string &path, const std::string &deadline, int &answer)
    {
        const HttpHeaders headers = {
            {"Host", "h.example"}, {"Authorization", "Bearer key"}, {"X-Attempt-Id", path + std::to_string(++this->sent)}, {"X-Deadline-Ms", deadline}};
        answer = -1;
        Asio::co_spawn(
            this->context,
            [this, path, headers, &answer]() -> Asio::awaitable<void> {
                const HttpCallOptions options;
                auto result = co_await this->client.call(this->callers, makeRequest("POST", path, "body", headers), options);
                answer = result ? result.value().status : 0;
            },
            Asio::detached);
    }

    void runFor(Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    /// Runs until the condition holds; fails after 10 s.
    template<typename Condition>
    void runUntil(Condition isMet)
    {
        const MonotonicTime end = monotonicNow() + 10s;
        while (!isMet() && monotonicNow() < end) {
            this->runFor(10ms);
        }
        REQUIRE(isMet());
    }

    /// Waits until the entry has read the store.
    void awaitReady()
    {
        int status = 0;
        this->runUntil([&] {
            this->send("/none/", "1000", status);
            this->runUntil([&] { return status >= 0; });
            return status == 404;
        });
    }

    Asio::io_context context {1};
    HttpClient client;
    StoreStandIn store;
    HttpServer endpoint;
    HttpAddress callers;
    std::string settingsFile;
    std::unique_ptr<ChildProcess> process;
    int arrivals = 0;
    int sent = 0;

private:
    Asio::awaitable<void> hold(HttpExchange &exchange)
    {
        ++this->arrivals;
        if (exchange.request().target.starts_with("/stream/")) {
            const HttpHeaders headers = {{"X-Attempt-Id", headerValue(exchange.request().headers, "X-Attempt-Id")}, {"X-Response-Signature", "signed"}};
            co_await exchange.startStream(200, headers);
            co_await exchange.writeChunk("id: 1\ndata: x\n\n");
        }
        Asio::steady_timer timer(this->context, 20s);
        co_await timer.async_wait(Asio::use_awaitable);
    }
};
} // namespace

// Guards against LOST: a request that was in progress at the end of the stop was cut before any answer.
TEST_CASE("A request in progress at the end of the stop gets a complete answer, and a broken stream does not look complete", "[stop]")
{
    StoppingEntry entry;
    entry.awaitReady();
    int order = -1;
    int stream = -1;
    entry.send("/order/", "20000", order);
    entry.send("/stream/", "20000", stream);
    entry.runUntil([&] { return entry.arrivals == 2; });
    entry.process->sendSignal(SIGTERM);
    entry.runUntil([&] { return order >= 0 && stream >= 0; });
    CHECK(order == 504);
    CHECK(stream == 0);
    CHECK(entry.process->wait() == 0);
}

// Guards against LOST: requests that came late in the stop were passed on and cut at its end.
TEST_CASE("A request that comes late in the stop is refused as not run if it may not end before the process does", "[stop]")
{
    const std::string path = GENERATE(std::string("/order/"), std::string("/repeat/"), std::string("/stream/"));
    StoppingEntry entry;
    entry.awaitReady();
    int held = -1;
    int late = -1;
    entry.send("/order/", "20000", held);
    entry.runUntil([&] { return entry.arrivals == 1; });
    entry.process->sendSignal(SIGTERM);
    // After the balancer's time to stop sending, within the limit of the stop.
    entry.runFor(2800ms);
    entry.send(path, "3000", late);
    entry.runUntil([&] { return late >= 0; });
    CHECK(late == 503);
    CHECK(entry.arrivals == 1);
    entry.runUntil([&] { return held >= 0; });
    CHECK(entry.process->wait() == 0);
}

// Guards against a process that a second signal ends at once.
TEST_CASE("Further signals during the stop change nothing", "[stop]")
{
    const int signal = GENERATE(SIGTERM, SIGINT, SIGHUP);
    StoppingEntry entry;
    entry.awaitReady();
    int order = -1;
    entry.send("/order/", "2000", order);
    entry.runUntil([&] { return entry.arrivals == 1; });
    entry.process->sendSignal(SIGTERM);
    for (int i = 0; i < 5; ++i) {
        entry.runFor(100ms);
        entry.process->sendSignal(signal);
    }
    entry.runUntil([&] { return order >= 0; });
    CHECK(order == 504);
    CHECK(entry.process->wait() == 0);
}

// Guards against a process that a signal of the platform kills while it starts: its settings are read, its signal handlers are not there yet.
TEST_CASE("A signal that arrives while the process starts does not kill it", "[stop]")
{
    const int signal = GENERATE(SIGHUP, SIGTERM);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string settings = settingsText({"127.0.0.1", 1}, freePort());
    const std::string pipe = temporaryName(".fifo");
    const std::string file = temporaryName(".yaml");
    std::ofstream(file) << settings;
    REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    const char *folder = std::getenv("GODWITFORK_BIN");
    Process::ipstream output;
    Process::child child(std::string(folder ? folder : "Build/default/bin") + "/godwitfork-entry", "--settings", pipe, Process::std_out > output);
    int descriptor = -1;
    while (descriptor < 0 && child.running()) {
        std::this_thread::sleep_for(1ms);
        descriptor = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK);
    }
    // The process waits for its settings; it finds a plain file when it reads them again.
    ::kill(child.id(), signal);
    std::this_thread::sleep_for(100ms);
    boost::filesystem::rename(file, pipe);
    const bool isWritten = ::write(descriptor, settings.data(), settings.size()) == static_cast<ssize_t>(settings.size());
    ::close(descriptor);
    CHECK(isWritten);
    std::string line;
    std::getline(output, line);
    CHECK(line.find("\"event\":\"listening\"") != std::string::npos);
    if (signal == SIGHUP) {
        std::this_thread::sleep_for(100ms);
        CHECK(child.running());
        ::kill(child.id(), SIGTERM);
    }
    std::error_code ignored;
    child.wait(ignored);
    CHECK(WIFEXITED(child.native_exit_code()));
    CHECK(child.exit_code() == 0);
    std::remove(pipe.c_str());
}
