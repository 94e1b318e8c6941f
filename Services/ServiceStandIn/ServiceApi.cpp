#include "ServiceApi.h"

#include "LibStandIn/StandInProcess.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpResponse doneResponse(const ServiceCall &call, std::size_t number)
{
    return jsonResponse(200, nlohmann::json {{"status", "done"}, {"request_id", call.requestId}, {"number", number}}.dump());
}
} // namespace

ServiceApi::ServiceApi(Asio::io_context &context, Duration delay, FencingCheck fencing) : context(context), delay(delay), fencing(fencing)
{
}

Asio::awaitable<void> ServiceApi::handle(HttpExchange &exchange)
{
    if (targetPath(exchange.request().target) == "/executions") {
        co_await exchange.respond(this->executionsResponse());
        co_return;
    }
    co_await this->handleCall(exchange);
}

Asio::awaitable<void> ServiceApi::handleCall(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    ServiceCall call;
    call.requestId = headerValue(request.headers, "X-Request-Id");
    call.idempotencyKey = headerValue(request.headers, "Idempotency-Key");
    call.path = request.target;
    call.body = request.body;
    call.fencing = parseNumber(headerValue(request.headers, "Godwitfork-Fencing"));
    call.startedMicroseconds = wallNow().time_since_epoch().count();
    std::uint64_t &highest = this->highestFencing[call.idempotencyKey];
    if (this->fencing == FencingCheck::On && call.fencing < highest) {
        co_await exchange.respond(standInRefusal(409, "stale_fencing", "a higher fencing number was seen"));
        co_return;
    }
    highest = std::max(highest, call.fencing);
    this->calls.push_back(call);
    const std::size_t number = this->calls.size();
    Asio::steady_timer timer(this->context, this->delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    co_await exchange.respond(doneResponse(call, number));
}

HttpResponse ServiceApi::executionsResponse() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const ServiceCall &call : this->calls) {
        list.push_back({{"request_id", call.requestId},
                        {"idempotency_key", call.idempotencyKey},
                        {"path", call.path},
                        {"body", call.body},
                        {"fencing", call.fencing},
                        {"started_us", call.startedMicroseconds}});
    }
    return jsonResponse(200, nlohmann::json {{"executions", list}}.dump());
}

} // namespace Godwitfork
