#include "StoreStandIn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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
    this->events.push_back({this->revision, kind, {{"deleted", deleted}, {"object", object}}});
}

void StoreStandIn::put(const std::string &kind, const std::string &name, nlohmann::json spec)
{
    ++this->revision;
    nlohmann::json object = {{"metadata", {{"name", name}, {"revision", this->revision}}}, {"spec", std::move(spec)}, {"status", nullptr}};
    this->objects[kind][name] = object;
    this->record(kind, false, object);
}

void StoreStandIn::remove(const std::string &kind, const std::string &name)
{
    ++this->revision;
    this->record(kind, true, this->objects[kind][name]);
    this->objects[kind].erase(name);
}

void StoreStandIn::forgetHistory()
{
    this->oldest = this->revision;
    this->events.clear();
}

Asio::awaitable<void> StoreStandIn::serveWatch(HttpExchange &exchange, const std::string &kind)
{
    const std::string &target = exchange.request().target;
    const std::uint64_t after = std::stoull(queryValue(target, "watch"));
    Duration left = std::chrono::milliseconds(std::stoi(queryValue(target, "waitMs")));
    HttpResponse response;
    while (true) {
        if (after < this->oldest) {
            response.status = 410;
            break;
        }
        nlohmann::json events = nlohmann::json::array();
        for (const Event &event : this->events) {
            if (event.kind == kind && event.revision > after) {
                events.push_back(event.event);
            }
        }
        left -= watchStep;
        if (!events.empty() || left <= Duration::zero()) {
            response.body = nlohmann::json {{"events", events}, {"at", this->revision}}.dump();
            break;
        }
        co_await pause(this->context, watchStep);
    }
    if (this->mode != StoreMode::Up) {
        response.status = 503;
    }
    co_await exchange.respond(std::move(response));
}

Asio::awaitable<void> StoreStandIn::serve(HttpExchange &exchange)
{
    if (this->mode == StoreMode::Silent) {
        co_await pause(this->context, silence);
        exchange.abort();
        co_return;
    }
    HttpResponse response;
    if (this->mode == StoreMode::Busy) {
        response.status = 503;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const std::string path = targetPath(exchange.request().target).substr(objectsPrefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    if (!queryValue(exchange.request().target, "watch").empty()) {
        co_await this->serveWatch(exchange, kind);
        co_return;
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[name, object] : this->objects[kind]) {
        entries.push_back(object);
    }
    response.body = nlohmann::json {{"entries", entries}, {"hasMore", false}, {"at", this->revision}}.dump();
    co_await exchange.respond(std::move(response));
}

} // namespace Godwitfork
