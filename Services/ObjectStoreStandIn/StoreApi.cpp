#include "StoreApi.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr std::size_t maxValueBytes = 1000 * 1000;
constexpr Duration heartbeatInterval = std::chrono::seconds(1);
const std::string objectsPath = "/v1/objects/";

HttpResponse errorResponse(int status, const std::string &message, std::uint64_t currentVersion = 0)
{
    return jsonResponse(status, nlohmann::json {{"message", message}, {"current_version", currentVersion}}.dump());
}

HttpResponse versionResponse(std::uint64_t version)
{
    return jsonResponse(200, nlohmann::json {{"version", version}}.dump());
}

HttpResponse objectResponse(const std::string &name, const TableEntry &entry)
{
    return jsonResponse(200, nlohmann::json {{"name", name}, {"version", entry.version}, {"value", entry.value}}.dump());
}

HttpResponse countersResponse(const StoreCounters &counters)
{
    return jsonResponse(200, nlohmann::json {{"reads", counters.reads}, {"writes", counters.writes}, {"watches", counters.watches}}.dump());
}

std::string eventsText(const nlohmann::json &events)
{
    return nlohmann::json {{"events", events}}.dump();
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

TableCondition parseCondition(const HttpRequest &request)
{
    TableCondition condition;
    condition.createOnly = headerValue(request.headers, "If-None-Match") == "*";
    const std::string match = headerValue(request.headers, "If-Match");
    if (!match.empty()) {
        condition.version = parseNumber(match);
    }
    return condition;
}
} // namespace

StoreApi::StoreApi(Asio::io_context &context) : context(context), changed(context, Asio::steady_timer::time_point::max())
{
}

Asio::awaitable<void> StoreApi::sleep(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> StoreApi::handle(HttpExchange &exchange)
{
    const std::string path = targetPath(exchange.request().target);
    if (path.rfind("/control/", 0) == 0) {
        co_await this->handleControl(exchange);
        co_return;
    }
    if (this->faults.outage) {
        exchange.abort();
        co_return;
    }
    if (this->faults.delay > Duration(0)) {
        co_await this->sleep(this->faults.delay);
    }
    if (path.rfind(objectsPath, 0) == 0) {
        co_await this->handleObject(exchange, percentDecode(path.substr(objectsPath.size())));
    } else if (path == "/v1/list") {
        ++this->counters.reads;
        const std::string &target = exchange.request().target;
        const nlohmann::json page = this->table.listPage(queryValue(target, "prefix"), queryValue(target, "after"));
        co_await exchange.respond(jsonResponse(200, page.dump()));
    } else if (path == "/v1/watch") {
        co_await this->handleWatch(exchange);
    } else {
        co_await exchange.respond(errorResponse(404, "no such route"));
    }
}

Asio::awaitable<void> StoreApi::handleObject(HttpExchange &exchange, std::string name)
{
    if (exchange.request().method != "GET") {
        co_await this->handleWrite(exchange, std::move(name));
        co_return;
    }
    ++this->counters.reads;
    const TableEntry *entry = this->table.find(name);
    if (entry == nullptr) {
        co_await exchange.respond(errorResponse(404, "no object '" + name + "'"));
        co_return;
    }
    co_await exchange.respond(objectResponse(name, *entry));
}

Asio::awaitable<void> StoreApi::handleWrite(HttpExchange &exchange, std::string name)
{
    ++this->counters.writes;
    const HttpRequest &request = exchange.request();
    nlohmann::json value;
    if (request.method == "PUT") {
        value = nlohmann::json::parse(request.body, nullptr, false);
        if (value.is_discarded() || request.body.size() > maxValueBytes) {
            co_await exchange.respond(errorResponse(400, "the value must be JSON of at most 1 MB"));
            co_return;
        }
    } else if (request.method != "DELETE") {
        co_await exchange.respond(errorResponse(405, "method not allowed"));
        co_return;
    }
    if (!this->table.conditionHolds(name, parseCondition(request))) {
        co_await exchange.respond(errorResponse(412, "the condition does not hold", this->table.currentVersion(name)));
        co_return;
    }
    const std::uint64_t version = request.method == "PUT" ? this->table.put(name, std::move(value)) : this->table.remove(name);
    this->changed.cancel();
    if (this->takeLostAnswer(name)) {
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(versionResponse(version));
}

bool StoreApi::takeLostAnswer(const std::string &name)
{
    if (this->faults.lostWriteAnswers <= 0 || name.rfind(this->faults.lostPrefix, 0) != 0) {
        return false;
    }
    --this->faults.lostWriteAnswers;
    return true;
}

Asio::awaitable<void> StoreApi::handleWatch(HttpExchange &exchange)
{
    ++this->counters.watches;
    const std::string target = exchange.request().target;
    const std::string prefix = queryValue(target, "prefix");
    const std::uint64_t after = parseNumber(queryValue(target, "after_version"));
    const MonotonicTime deadline = monotonicNow() + std::chrono::milliseconds(parseNumber(queryValue(target, "timeout_ms")));
    HttpHeaders headers;
    headers.push_back({"Content-Type", "application/json"});
    bool connected = co_await exchange.startStream(200, headers);
    nlohmann::json events = this->table.changesAfter(prefix, after);
    while (connected && events.empty() && monotonicNow() < deadline) {
        // White space before the JSON text shows the waiting side that the store is alive.
        connected = co_await exchange.writeChunk("\n");
        Asio::steady_timer heartbeat(this->context, heartbeatInterval);
        heartbeat.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->changed.cancel();
            }
        });
        boost::system::error_code ignored;
        co_await this->changed.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        if (this->faults.outage) {
            exchange.abort();
            co_return;
        }
        events = this->table.changesAfter(prefix, after);
    }
    if (this->faults.delay > Duration(0)) {
        co_await this->sleep(this->faults.delay);
    }
    if (connected) {
        connected = co_await exchange.writeChunk(eventsText(events));
    }
    if (connected) {
        co_await exchange.finishStream();
    }
}

Asio::awaitable<void> StoreApi::handleControl(HttpExchange &exchange)
{
    const std::string path = targetPath(exchange.request().target);
    if (path == "/control/counters") {
        co_await exchange.respond(countersResponse(this->counters));
        co_return;
    }
    const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (path != "/control/fault" || !body.is_object()) {
        co_await exchange.respond(errorResponse(400, "expected PUT /control/fault with an object"));
        co_return;
    }
    this->faults.outage = body.value("outage", false);
    this->faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    this->faults.lostWriteAnswers = body.value("lost_write_answers", 0);
    this->faults.lostPrefix = body.value("lost_prefix", "");
    this->changed.cancel();
    co_await exchange.respond(jsonResponse(200, "{}"));
}

} // namespace Godwitfork
