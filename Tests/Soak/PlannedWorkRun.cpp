#include "PlannedWorkRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/filesystem.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <pthread.h>
#include <sched.h>

#include <fstream>
#include <iostream>
#include <map>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int streamLimit = 12000;
constexpr int plainLimit = 1500;
/// A client leaves this long after its limit, so that a cut at the limit is seen.
constexpr Duration patience = std::chrono::milliseconds(500);
constexpr double longThoughts = 0.2;
constexpr Duration shortestThought = std::chrono::milliseconds(5);
constexpr Duration longestShortThought = std::chrono::milliseconds(500);
constexpr Duration shortestLongThought = std::chrono::seconds(1);
constexpr Duration longestThought = std::chrono::seconds(7);
constexpr Duration shortestSendPause = std::chrono::milliseconds(50);
constexpr Duration shortestReadPause = std::chrono::milliseconds(20);
constexpr Duration longestReadPause = std::chrono::milliseconds(200);
constexpr const char *engineService = "engines";
constexpr const char *plainService = "orders";

nlohmann::json route(const std::string &name, const std::string &type, const std::string &service, int timeout, int attempts)
{
    return {{"name", name},
            {"host", "h.example"},
            {"pathPrefix", "/" + name + "/"},
            {"type", type},
            {"resumable", type == "streaming"},
            {"timeoutMs", timeout},
            {"targetLatencyMs", type == "streaming" ? 2000 : 300},
            {"targetItlMs", 1200},
            {"service", service},
            {"maxAttempts", attempts}};
}

void spin(int core, const std::atomic<bool> &isBusy)
{
    cpu_set_t cores;
    CPU_ZERO(&cores);
    CPU_SET(core, &cores);
    ::pthread_setaffinity_np(::pthread_self(), sizeof cores, &cores);
    while (isBusy) { }
}
} // namespace

PlannedWorkRun::PlannedWorkRun(std::uint64_t seed, PlannedWorkSettings settings) : context(1), random(seed), settings(settings), store(this->context)
{
    this->folder = (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("godwitfork-work-%%%%%%%%")).string();
    boost::filesystem::create_directories(this->folder);
    for (int i = 0; i < settings.engines + settings.plainEndpoints; ++i) {
        const std::string id = (i < settings.engines ? "engine-" : "plain-") + std::to_string(i);
        this->servers.emplace_back(this->context, this->random, this->book, id, settings.manners);
    }
    for (EndpointStandIn &server : this->servers) {
        server.start();
    }
    this->putConfiguration();
    this->registerEndpoints();
    FleetSettings fleetSettings;
    fleetSettings.instances = settings.instances;
    fleetSettings.failureDomains = settings.failureDomains;
    fleetSettings.store = this->store.address();
    fleetSettings.cores = settings.cores;
    fleetSettings.evacuationLimit = settings.evacuationLimit;
    this->entries = std::make_unique<EntryFleet>(this->context, this->random, std::move(fleetSettings), this->folder);
    this->entries->start();
    for (int i = 0; i < settings.cores * settings.busyThreads; ++i) {
        this->busy.emplace_back(spin, i % settings.cores, std::cref(this->isBusy));
    }
}

PlannedWorkRun::~PlannedWorkRun()
{
    this->isBusy = false;
    for (std::thread &thread : this->busy) {
        thread.join();
    }
    this->entries.reset();
    boost::system::error_code ignored;
    boost::filesystem::remove_all(this->folder, ignored);
}

void PlannedWorkRun::putConfiguration()
{
    nlohmann::json routes = {route("stream", "streaming", engineService, streamLimit + this->configurationVersion % 7 * 100, 3),
                             route("order", "non_idempotent", plainService, plainLimit + this->configurationVersion % 5 * 100, 1),
                             route("lookup", "idempotent", plainService, plainLimit, 2)};
    for (int i = 1; i < this->configurationVersion; ++i) {
        routes.push_back(route("more" + std::to_string(i), "idempotent", plainService, plainLimit, 2));
    }
    this->store.put("config",
                    "main",
                    {{"version", this->configurationVersion},
                     {"routes", std::move(routes)},
                     {"services",
                      {{{"name", engineService},
                        {"healthPath", "/healthz"},
                        {"maxConns", 370},
                        {"engine", {{"slots", 64}, {"kvCapacity", 492709}, {"stride", 5}, {"models", {{{"name", "m0"}, {"cost", 0.1}}}}}}},
                       {{"name", plainService}, {"healthPath", "/healthz"}, {"maxConns", 110}}}},
                     {"tenants", {{{"name", "shop"}, {"apiKeys", this->keys}}}},
                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}});
}

std::string PlannedWorkRun::domainOfEndpoint(std::size_t index) const
{
    return "d" + std::to_string(index % static_cast<std::size_t>(this->settings.failureDomains));
}

void PlannedWorkRun::registerEndpoints()
{
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        const bool isEngine = static_cast<int>(i) < this->settings.engines;
        this->store.put("servers",
                        this->servers[i].id(),
                        {{"service", isEngine ? engineService : plainService},
                         {"address", toText(this->servers[i].address())},
                         {"zone", this->domainOfEndpoint(i)},
                         {"version", "v1"},
                         {"slots", 64},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"sequence", 1},
                         {"born", 1}});
    }
}

EntryFleet &PlannedWorkRun::fleet()
{
    return *this->entries;
}

RandomSource &PlannedWorkRun::randomSource()
{
    return this->random;
}

std::vector<EndpointStandIn> &PlannedWorkRun::endpoints()
{
    return this->servers;
}

Asio::awaitable<void> PlannedWorkRun::pause(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Duration PlannedWorkRun::draw(Duration min, Duration max)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(min.count(), max.count())(this->random));
}

Duration PlannedWorkRun::drawThought()
{
    const bool isLong = std::bernoulli_distribution(longThoughts)(this->random);
    return isLong ? this->draw(shortestLongThought, longestThought) : this->draw(shortestThought, longestShortThought);
}

void PlannedWorkRun::changeConfiguration()
{
    this->configurationVersion += 1 + static_cast<int>(this->random() % 3);
    this->putConfiguration();
    this->entries->addWork({WorkKind::Configuration, -1, monotonicNow()});
}

StoreStandIn &PlannedWorkRun::platformStore()
{
    return this->store;
}

void PlannedWorkRun::setKeys(std::vector<std::string> newKeys)
{
    this->keys = std::move(newKeys);
    this->changeConfiguration();
}

Asio::awaitable<int> PlannedWorkRun::sendWith(std::string key, int instance)
{
    const std::string id = "key-" + std::to_string(++this->calls);
    std::string text = fmt::format(
        "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 0\r\n\r\n",
        id,
        plainLimit,
        key);
    KeptConnection connection(this->context);
    const HttpAddress address = this->entries->callers(instance);
    RequestRecord record;
    if (!co_await connection.connect(address)) {
        co_return 0;
    }
    const MonotonicTime until = monotonicNow() + std::chrono::milliseconds(plainLimit) + patience;
    const bool isSent = co_await connection.exchange(std::move(text), until, ClientManners(), record);
    const bool isAnswered = isSent && record.end == AnswerEnd::Complete;
    co_return isAnswered ? connection.status() : 0;
}

void PlannedWorkRun::evacuate(const std::string &failureDomain)
{
    this->store.put("evacuations", failureDomain, nlohmann::json::object());
    this->evacuations.push_back({failureDomain, monotonicNow(), std::nullopt});
}

void PlannedWorkRun::endEvacuation(const std::string &failureDomain)
{
    this->store.remove("evacuations", failureDomain);
    for (EvacuationTimes &evacuation : this->evacuations) {
        if (evacuation.failureDomain == failureDomain && !evacuation.end) {
            evacuation.end = monotonicNow();
        }
    }
}

PlannedWorkRun::Call PlannedWorkRun::makeCall(const std::string &client)
{
    static constexpr const char *names[] = {"stream", "order", "lookup"};
    Call call;
    call.route = names[std::discrete_distribution<int>({4, 3, 3})(this->random)];
    call.id = client + "-" + std::to_string(++this->calls);
    call.limit = std::chrono::milliseconds(call.route == "stream" ? streamLimit : plainLimit);
    const std::string body(1 + this->random() % 2000, 'b');
    call.text =
        fmt::format("POST /{}/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key\r\nContent-Length: {}\r\n",
                    call.route,
                    call.id,
                    toMilliseconds(call.limit),
                    body.size());
    if (call.route == "stream") {
        call.text += fmt::format("X-Model: m0\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,{:08x}:410\r\n", this->random() & 0xffffffffU);
    }
    call.text += "\r\n" + body;
    return call;
}

Asio::awaitable<void> PlannedWorkRun::useConnection(std::string client, int instance, int requests, Duration before)
{
    KeptConnection connection(this->context);
    const HttpAddress address = this->entries->callers(instance);
    bool isOpen = co_await connection.connect(address);
    if (isOpen && before > Duration::zero()) {
        isOpen = co_await connection.rest(before);
    }
    for (int i = 0; isOpen && i < requests && !this->isOver; ++i) {
        Call call = this->makeCall(client);
        ClientManners manners;
        manners.sendPause = std::bernoulli_distribution(this->settings.slowSenders)(this->random)
            ? this->draw(shortestSendPause, this->settings.longestSendPause)
            : Duration::zero();
        manners.readPause =
            std::bernoulli_distribution(this->settings.slowReaders)(this->random) ? this->draw(shortestReadPause, longestReadPause) : Duration::zero();
        RequestRecord record;
        record.id = call.id;
        record.instance = instance;
        record.route = call.route;
        record.limit = call.limit;
        const MonotonicTime until = monotonicNow() + manners.sendPause + call.limit + patience;
        const bool isSent = co_await connection.exchange(std::move(call.text), until, manners, record);
        if (isSent && record.end == AnswerEnd::Complete) {
            const std::string expected = call.route == "stream" ? wholeStreamBody(call.id) : wholePlainBody(call.id);
            this->book.answered(call.id, connection.status(), connection.body(), expected);
        }
        if (isSent) {
            this->book.ended(std::move(record));
        }
        isOpen = connection.isOpen();
        if (isOpen) {
            const Duration thought = this->drawThought();
            isOpen = co_await connection.rest(thought);
        }
    }
}

Asio::awaitable<void> PlannedWorkRun::clientLoop(int number)
{
    const std::string name = "c" + std::to_string(number);
    const Duration start = this->draw(Duration::zero(), longestShortThought);
    co_await this->pause(start);
    while (!this->isOver) {
        const int instance = this->entries->choose(number % this->settings.failureDomains);
        const int requests = 1 + static_cast<int>(this->random() % 30);
        const Duration before = std::bernoulli_distribution(longThoughts)(this->random) ? this->drawThought() : Duration::zero();
        co_await this->useConnection(name, instance, requests, before);
        const Duration thought = this->draw(shortestThought, longestShortThought);
        co_await this->pause(thought);
    }
    --this->running;
}

void PlannedWorkRun::replace(int instance, Freeze freeze)
{
    if (!this->entries->isUp(instance)) {
        return;
    }
    ++this->running;
    Asio::co_spawn(
        this->context,
        [this, instance, freeze]() -> Asio::awaitable<void> {
            co_await this->entries->replace(instance, freeze);
            --this->running;
        },
        Asio::detached);
}

void PlannedWorkRun::burst(int instance, int count, Duration spread)
{
    for (int i = 0; i < count; ++i) {
        ++this->running;
        Asio::co_spawn(
            this->context,
            [this, instance, i, spread]() -> Asio::awaitable<void> {
                const std::string name = "b" + std::to_string(i);
                const Duration before = this->draw(Duration::zero(), spread);
                co_await this->useConnection(name, instance, 2, before);
                --this->running;
            },
            Asio::detached);
    }
}

void PlannedWorkRun::play(std::function<Asio::awaitable<void>()> work)
{
    for (int i = 0; i < this->settings.clients; ++i) {
        ++this->running;
        Asio::co_spawn(
            this->context, [this, i] { return this->clientLoop(i); }, Asio::detached);
    }
    ++this->running;
    Asio::co_spawn(
        this->context,
        [this, work = std::move(work)]() -> Asio::awaitable<void> {
            co_await work();
            this->isOver = true;
            --this->running;
        },
        Asio::detached);
    while (this->running > 0) {
        this->context.run_one();
    }
}

const RequestBook &PlannedWorkRun::requests() const
{
    return this->book;
}

std::vector<Loss> PlannedWorkRun::losses(const std::vector<Disruption> &disruptions) const
{
    std::vector<Loss> losses = findLost(this->book.records(), this->entries->works(), disruptions, LossBounds());
    for (const Loss &loss : losses) {
        std::cout << "lost: " << describe(loss) << "\n";
        for (const std::string &line : this->entries->logLines(loss.request.instance)) {
            if (line.find("\"" + loss.request.id + "\"") != std::string::npos) {
                std::cout << "    " << line << "\n";
            }
        }
    }
    return losses;
}

std::vector<Arrival> PlannedWorkRun::arrivals() const
{
    std::map<std::string, std::string> domains;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        domains[this->servers[i].id()] = this->domainOfEndpoint(i);
    }
    std::vector<Arrival> result = this->book.arrivals();
    for (Arrival &arrival : result) {
        arrival.failureDomain = domains.at(arrival.endpoint);
    }
    return result;
}

std::vector<Arrival> PlannedWorkRun::lateArrivals(const std::vector<Disruption> &disruptions) const
{
    EvacuationBounds bounds;
    bounds.limit = this->settings.evacuationLimit;
    return findLateArrivals(this->arrivals(), this->evacuations, this->book.records(), disruptions, bounds);
}

void PlannedWorkRun::keepLogs(const std::string &target) const
{
    this->entries->keepLogs(target);
    std::ofstream file(target + "/requests.txt");
    for (const RequestRecord &record : this->book.records()) {
        file << toMilliseconds(record.sent.time_since_epoch()) << " ms " << describe({record, {WorkKind::Stop, record.instance, record.sent}}) << "\n";
    }
    for (const PlannedWork &work : this->entries->works()) {
        file << toMilliseconds(work.at.time_since_epoch()) << " ms " << workName(work.kind) << " at instance " << work.instance << "\n";
    }
}

} // namespace Godwitfork
