#include "SoakRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/filesystem.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int entryCount = 3;
constexpr int endpointCount = 4;
constexpr int callerCount = 6;
constexpr int streamEvents = 8;
constexpr Duration callPause = std::chrono::milliseconds(60);
constexpr Duration eventPause = std::chrono::milliseconds(30);
constexpr const char *deadline = "3000";
/// From the end of the faults until requests must be served again, as in the platform's recovery bound.
constexpr Duration recovery = std::chrono::seconds(12);

HttpResponse refusal(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

std::string streamEvent(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string wholeStream(const std::string &id)
{
    std::string text;
    for (int number = 1; number <= streamEvents; ++number) {
        text += streamEvent(id, number);
    }
    return text;
}

std::uint16_t freePort()
{
    Asio::io_context context;
    Asio::ip::tcp::acceptor acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

nlohmann::json route(const std::string &prefix, const std::string &type)
{
    return {{"name", prefix},
            {"host", "h.example"},
            {"pathPrefix", prefix},
            {"type", type},
            {"resumable", type == "streaming"},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 300},
            {"targetItlMs", 400},
            {"service", "pool"},
            {"maxAttempts", type == "non_idempotent" ? 1 : 3}};
}
} // namespace

SoakRun::SoakRun(std::uint64_t seed) : context(1), random(seed), client(this->context), store(this->context)
{
    this->folder = (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-soak-%%%%%%%%")).string();
    boost::filesystem::create_directories(this->folder);
    for (int i = 0; i < endpointCount; ++i) {
        Endpoint endpoint;
        endpoint.id = "e" + std::to_string(i);
        endpoint.route = endpoint.id;
        endpoint.server = std::make_unique<HttpServer>(
            this->context,
            HttpAddress {"127.0.0.1", 0},
            HttpServerLimits {},
            [this](HttpExchange &exchange) { return this->serveEndpoint(exchange); },
            refusal);
        endpoint.server->start();
        this->endpoints.push_back(std::move(endpoint));
    }
    this->startProxy();
    this->store.put("config",
                    "main",
                    {{"version", 1},
                     {"routes", {route("/order/", "non_idempotent"), route("/stream/", "streaming")}},
                     {"services", {{{"name", "pool"}, {"healthPath", "/healthz"}}}},
                     {"tenants", {{{"name", "shop"}, {"apiKeys", {"key"}}}}}});
    for (const Endpoint &endpoint : this->endpoints) {
        this->registerEndpoint(endpoint, "ready");
    }
    this->startEntries();
}

SoakRun::~SoakRun()
{
    this->entries.clear();
    this->proxy.reset();
    boost::system::error_code ignored;
    boost::filesystem::remove_all(this->folder, ignored);
}

void SoakRun::startProxy()
{
    std::vector<std::string> arguments = {"--route", "store=" + toText(this->store.address())};
    for (const Endpoint &endpoint : this->endpoints) {
        arguments.push_back("--route");
        arguments.push_back(endpoint.route + "=" + toText(endpoint.server->address()));
    }
    this->proxy = std::make_unique<ChildProcess>("godwitfork-fault-proxy", arguments);
    const nlohmann::json event = this->proxy->listeningEvent();
    this->proxyControl = parseHttpAddress(event.at("control").get<std::string>());
    for (const auto &[name, address] : event.at("routes").items()) {
        this->proxied[name] = parseHttpAddress(address.get<std::string>());
    }
}

void SoakRun::startEntries()
{
    std::vector<std::string> peers;
    for (int i = 0; i < entryCount; ++i) {
        peers.push_back("127.0.0.1:" + std::to_string(freePort()));
    }
    for (int i = 0; i < entryCount; ++i) {
        Entry entry;
        entry.callers = {"127.0.0.1", freePort()};
        entry.settingsFile = this->folder + "/entry-" + std::to_string(i) + ".yaml";
        std::ofstream settings(entry.settingsFile);
        settings << "instance: entry-" << i << "\nfailure_domain: a\nlisten: " << toText(entry.callers) << "\nreadiness_listen: 127.0.0.1:" << freePort()
                 << "\npeer_listen: " << peers[static_cast<std::size_t>(i)] << "\nmetrics_listen: 127.0.0.1:" << freePort()
                 << "\nstore: " << toText(this->proxied.at("store")) << "\nstop_limit_s: 5\nretry_ratio: 0.9\nretry_allowance: 50\nseeds: [" << peers[0] << ", "
                 << peers[1] << "]\n";
        settings.close();
        entry.process = std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", entry.settingsFile});
        this->entries.push_back(std::move(entry));
    }
}

void SoakRun::registerEndpoint(const Endpoint &endpoint, const std::string &state)
{
    this->store.put("servers",
                    endpoint.id,
                    {{"service", "pool"},
                     {"address", toText(this->proxied.at(endpoint.route))},
                     {"zone", "a"},
                     {"version", "v1"},
                     {"slots", 16},
                     {"state", state},
                     {"coldRemainingMs", 0},
                     {"sequence", 1},
                     {"born", 1}});
}

Asio::awaitable<void> SoakRun::pause(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Duration SoakRun::draw(int minMilliseconds, int maxMilliseconds)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(minMilliseconds, maxMilliseconds)(this->random));
}

Asio::awaitable<void> SoakRun::serveEndpoint(HttpExchange &exchange)
{
    const std::string id = headerValue(exchange.request().headers, "X-Attempt-Id");
    HttpHeaders headers;
    headers.push_back({"X-Attempt-Id", id});
    headers.push_back({"X-Response-Signature", "signed"});
    if (exchange.request().target.starts_with("/order/")) {
        this->seen.ran(id, false);
        co_await this->pause(eventPause);
        HttpResponse response;
        response.headers = std::move(headers);
        response.body = "done " + id;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    this->seen.ran(id, true);
    const std::string after = headerValue(exchange.request().headers, "Last-Event-Id");
    bool isOpen = co_await exchange.startStream(200, std::move(headers));
    for (int number = after.empty() ? 1 : std::stoi(after) + 1; isOpen && number <= streamEvents; ++number) {
        isOpen = co_await exchange.writeChunk(streamEvent(id, number));
        co_await this->pause(eventPause);
    }
    if (isOpen) {
        co_await exchange.finishStream();
    }
}

Asio::awaitable<void> SoakRun::callOnce(std::string id, bool isStream)
{
    const Entry &entry = this->entries[this->random() % this->entries.size()];
    const bool isLate = monotonicNow() > this->faultsEnd + recovery;
    HttpRequest request = makeRequest("POST", isStream ? "/stream/x" : "/order/x", "body");
    request.headers.push_back({"Host", "h.example"});
    request.headers.push_back({"X-Attempt-Id", id});
    request.headers.push_back({"X-Deadline-Ms", deadline});
    request.headers.push_back({"Authorization", "Bearer key"});
    HttpCallOptions options;
    options.responseTimeout = std::chrono::seconds(5);
    const auto answer = co_await this->client.call(entry.callers, std::move(request), options);
    if (answer) {
        this->seen.answered(id, answer.value().status, answer.value().body, isStream ? wholeStream(id) : "done " + id);
    } else {
        this->seen.lost();
    }
    this->lateTotal += isLate ? 1 : 0;
    this->lateServed += isLate && answer && answer.value().status == 200 ? 1 : 0;
}

Asio::awaitable<void> SoakRun::callerLoop(int number)
{
    for (int i = 0; monotonicNow() < this->end; ++i) {
        co_await this->callOnce("c" + std::to_string(number) + "-" + std::to_string(i), number % 2 == 0);
        co_await this->pause(callPause);
    }
    --this->running;
}

Asio::awaitable<void> SoakRun::control(std::string method, std::string target, std::string body)
{
    co_await this->client.call(this->proxyControl, makeRequest(std::move(method), std::move(target), std::move(body)), HttpCallOptions());
}

Asio::awaitable<void> SoakRun::proxyFault(std::string name, nlohmann::json faults, Duration duration)
{
    const std::string target = "/routes/" + name + "/faults";
    co_await this->control("PUT", target, faults.dump());
    co_await this->pause(duration);
    co_await this->control("PUT", target, "{}");
}

// A paused or ended process comes back by itself; the others go on meanwhile.
Asio::awaitable<void> SoakRun::signalEntry(std::size_t index, int signal, Duration downTime)
{
    Entry &entry = this->entries[index];
    if (entry.isDown) {
        co_return;
    }
    entry.isDown = true;
    entry.process->sendSignal(signal);
    co_await this->pause(downTime);
    if (signal == SIGSTOP) {
        entry.process->sendSignal(SIGCONT);
    } else {
        entry.process->sendSignal(SIGKILL);
        entry.process->wait();
        entry.process = std::make_unique<ChildProcess>("godwitfork-entry", std::vector<std::string> {"--settings", entry.settingsFile});
    }
    entry.isDown = false;
}

Asio::awaitable<void> SoakRun::injectFault()
{
    const std::size_t entry = this->random() % this->entries.size();
    Endpoint &endpoint = this->endpoints[this->random() % this->endpoints.size()];
    const Duration duration = this->draw(300, 2500);
    const std::string name = this->random() % 3 == 0 ? "store" : endpoint.route;
    const nlohmann::json cut = {{"cut", true}};
    const nlohmann::json slow = {{"delay_ms", 80}, {"jitter_ms", 150}};
    const nlohmann::json oneWay = {{"drop", this->random() % 2 == 0 ? "to_target" : "to_client"}};
    switch (this->random() % 10) {
    case 0:
        co_await this->signalEntry(entry, SIGKILL, this->draw(50, 500));
        break;
    case 1:
        co_await this->signalEntry(entry, SIGTERM, std::chrono::milliseconds(5200));
        break;
    case 2:
        co_await this->signalEntry(entry, SIGSTOP, duration);
        break;
    case 3:
        co_await this->proxyFault(name, cut, duration);
        break;
    case 4:
        co_await this->proxyFault(name, slow, duration);
        break;
    case 5:
        co_await this->proxyFault(name, oneWay, duration);
        break;
    case 6:
        co_await this->control("POST", "/routes/" + name + "/freeze", "");
        break;
    case 7:
        this->store.setMode(this->random() % 2 == 0 ? StoreMode::Busy : StoreMode::Silent);
        co_await this->pause(duration);
        this->store.setMode(StoreMode::Up);
        break;
    case 8:
        this->store.forgetHistory();
        break;
    default:
        this->registerEndpoint(endpoint, "draining");
        co_await this->pause(duration);
        this->store.remove("servers", endpoint.id);
        co_await this->pause(duration);
        this->registerEndpoint(endpoint, "ready");
        break;
    }
}

Asio::awaitable<void> SoakRun::faultLoop()
{
    while (monotonicNow() < this->faultsEnd) {
        ++this->running;
        Asio::co_spawn(
            this->context,
            [this]() -> Asio::awaitable<void> {
                co_await this->injectFault();
                --this->running;
            },
            Asio::detached);
        co_await this->pause(this->draw(100, 900));
    }
    --this->running;
}

void SoakRun::run(Duration faulty, Duration calm)
{
    // A little time for the first list and the first reports.
    this->faultsEnd = monotonicNow() + faulty;
    this->end = this->faultsEnd + calm;
    for (int i = 0; i < callerCount; ++i) {
        ++this->running;
        Asio::co_spawn(
            this->context, [this, i]() -> Asio::awaitable<void> { co_await this->callerLoop(i); }, Asio::detached);
    }
    ++this->running;
    Asio::co_spawn(
        this->context, [this]() -> Asio::awaitable<void> { co_await this->faultLoop(); }, Asio::detached);
    while (this->running > 0) {
        this->context.run_one();
    }
}

const Promises &SoakRun::promises() const
{
    return this->seen;
}

std::string SoakRun::keepLogs() const
{
    const std::string kept = this->folder + "-logs";
    boost::filesystem::create_directories(kept);
    const auto keep = [&](const std::string &name, const ChildProcess &process) {
        std::ofstream file(kept + "/" + name + ".log");
        for (const std::string &line : process.logLines()) {
            file << line << "\n";
        }
    };
    keep("proxy", *this->proxy);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        keep("entry-" + std::to_string(i), *this->entries[i].process);
    }
    return kept;
}

double SoakRun::servedAfterRecovery() const
{
    return this->lateTotal > 0 ? static_cast<double>(this->lateServed) / this->lateTotal : 0;
}

} // namespace Godwitfork
