#include "StoreStandIn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
HttpResponse refusal(int status, const std::string &code, const std::string &)
{
    return jsonResponse(status, code);
}

Asio::awaitable<void> pause(Asio::io_context &context, Duration duration)
{
    Asio::steady_timer timer(context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

const std::string objectsPrefix = "/objects/";
constexpr Duration silence = std::chrono::seconds(20);
constexpr Duration watchStep = std::chrono::milliseconds(20);
constexpr const char *eraHeader = "Store-Era";
} // namespace

StoreStandIn::StoreStandIn(Asio::io_context &context)
    : context(context)
    , server(
          context,
          {"127.0.0.1", 0},
          {},
          [this](HttpExchange &exchange) { return this->serve(exchange); },
          refusal)
{
    this->server.start();
}

HttpAddress StoreStandIn::address() const
{
    return this->server.address();
}

void StoreStandIn::setMode(StoreMode newMode)
{
    this->mode = newMode;
}

void StoreStandIn::record(const std::string &kind, bool deleted, const nlohmann::json &object)
{
    this->events.push_back({this->lastRevision, kind, {{"deleted", deleted}, {"object", object}}});
}

void StoreStandIn::put(const std::string &kind, const std::string &name, nlohmann::json spec)
{
    ++this->lastRevision;
    nlohmann::json &object = this->objects[kind][name];
    const nlohmann::json status = object.is_null() ? nlohmann::json() : object["status"];
    object = {{"metadata", {{"name", name}, {"revision", this->lastRevision}}}, {"spec", std::move(spec)}, {"status", status}};
    this->record(kind, false, object);
}

void StoreStandIn::putStatus(const std::string &kind, const std::string &name, nlohmann::json status)
{
    ++this->lastRevision;
    nlohmann::json &object = this->objects[kind][name];
    object["status"] = std::move(status);
    object["metadata"]["revision"] = this->lastRevision;
    this->record(kind, false, object);
}

void StoreStandIn::remove(const std::string &kind, const std::string &name)
{
    ++this->lastRevision;
    this->record(kind, true, this->objects[kind][name]);
    this->objects[kind].erase(name);
}

void StoreStandIn::forgetHistory()
{
    this->oldest = this->lastRevision;
    this->events.clear();
}

void StoreStandIn::copy()
{
    this->copiedObjects = this->objects;
    this->copiedRevision = this->lastRevision;
}

void StoreStandIn::restore()
{
    this->objects = this->copiedObjects;
    this->lastRevision = this->copiedRevision;
    std::erase_if(this->events, [this](const Event &event) { return event.revision > this->lastRevision; });
    ++this->era;
}

std::uint64_t StoreStandIn::revision() const
{
    return this->lastRevision;
}

const nlohmann::json &StoreStandIn::object(const std::string &kind, const std::string &name)
{
    return this->objects[kind][name];
}

// Returns nothing while there is no change and the watch may wait.
std::optional<std::string> StoreStandIn::eventsAfter(const std::string &kind, std::uint64_t after, bool isWaiting) const
{
    nlohmann::json found = nlohmann::json::array();
    for (const Event &event : this->events) {
        if (event.kind == kind && event.revision > after) {
            found.push_back(event.event);
        }
    }
    if (found.empty() && isWaiting) {
        return std::nullopt;
    }
    return nlohmann::json {{"events", found}, {"at", this->lastRevision}}.dump();
}

Asio::awaitable<void> StoreStandIn::fallSilent(HttpExchange &exchange)
{
    co_await pause(this->context, silence);
    exchange.abort();
}

Asio::awaitable<void> StoreStandIn::respond(HttpExchange &exchange, HttpResponse response, std::uint64_t answerEra)
{
    if (this->statesEra) {
        response.headers.push_back({eraHeader, std::to_string(answerEra)});
    }
    co_await exchange.respond(std::move(response));
}

Asio::awaitable<void> StoreStandIn::serveWatch(HttpExchange &exchange, const std::string &kind)
{
    ++this->watches[kind];
    const std::uint64_t openedIn = this->era;
    const std::string &target = exchange.request().target;
    const std::uint64_t after = std::stoull(queryValue(target, "watch"));
    Duration left = std::chrono::milliseconds(std::stoi(queryValue(target, "waitMs")));
    HttpResponse response;
    while (true) {
        if (openedIn != this->era && !this->answersLate) {
            co_await this->fallSilent(exchange);
            co_return;
        }
        if (openedIn != this->era) {
            response.body = nlohmann::json {{"events", nlohmann::json::array()}, {"at", after}}.dump();
            break;
        }
        if (after < this->oldest || after > this->lastRevision) {
            response.status = 410;
            break;
        }
        left -= watchStep;
        if (auto found = this->eventsAfter(kind, after, left > Duration::zero())) {
            response.body = std::move(*found);
            break;
        }
        co_await pause(this->context, watchStep);
    }
    if (this->mode != StoreMode::Up) {
        response.status = 503;
    }
    co_await this->respond(exchange, std::move(response), openedIn);
}

HttpResponse StoreStandIn::listPage(const std::string &target, const std::string &kind)
{
    if (this->beforePage) {
        this->beforePage(kind);
    }
    const std::string after = queryValue(target, "after");
    const auto &all = this->objects[kind];
    nlohmann::json entries = nlohmann::json::array();
    auto next = after.empty() ? all.begin() : all.upper_bound(after);
    for (; next != all.end() && entries.size() < this->pageSize; ++next) {
        entries.push_back(next->second);
    }
    HttpResponse response;
    response.body = nlohmann::json {{"entries", entries}, {"hasMore", next != all.end()}, {"at", this->lastRevision}}.dump();
    return response;
}

HttpResponse StoreStandIn::writeStatus(const HttpRequest &request, const std::string &kind, const std::string &name)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const auto known = this->objects[kind].find(name);
    HttpResponse response;
    if (known == this->objects[kind].end()) {
        response.status = 404;
        return response;
    }
    if (body.at("metadata").at("revision") != known->second.at("metadata").at("revision")) {
        response.status = 409;
        response.body = known->second.dump();
        return response;
    }
    this->putStatus(kind, name, body.at("status"));
    response.body = known->second.dump();
    return response;
}

Asio::awaitable<void> StoreStandIn::serve(HttpExchange &exchange)
{
    if (this->mode == StoreMode::Silent) {
        co_await this->fallSilent(exchange);
        co_return;
    }
    HttpResponse response;
    if (this->mode == StoreMode::Busy) {
        response.status = 503;
        co_await this->respond(exchange, std::move(response), this->era);
        co_return;
    }
    const std::string &target = exchange.request().target;
    const std::string path = targetPath(target).substr(objectsPrefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    if (!queryValue(target, "watch").empty()) {
        co_await this->serveWatch(exchange, kind);
        co_return;
    }
    if (exchange.request().method == "PUT") {
        const std::string rest = path.substr(kind.size() + 1);
        response = this->writeStatus(exchange.request(), kind, rest.substr(0, rest.find('/')));
    } else {
        ++this->lists[kind];
        response = this->listPage(target, kind);
    }
    co_await this->respond(exchange, std::move(response), this->era);
}

} // namespace Godwitfork
