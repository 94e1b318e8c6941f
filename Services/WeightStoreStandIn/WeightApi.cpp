#include "WeightApi.h"

#include "LibStandIn/StandInProcess.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string weightsPrefix = "/v1/weights/";
constexpr std::int64_t chunkBytes = 16 * 1024;
constexpr std::int64_t microsecondsPerSecond = 1000000;
} // namespace

WeightApi::WeightApi(Asio::io_context &context, std::int64_t bytesPerSecond, std::int64_t weightBytes)
    : context(context), bytesPerSecond(std::max<std::int64_t>(bytesPerSecond, 1)), weightBytes(weightBytes)
{
}

Asio::awaitable<void> WeightApi::handle(HttpExchange &exchange)
{
    const std::string path = targetPath(exchange.request().target);
    if (path == "/transfers") {
        co_await exchange.respond(this->transfersResponse());
    } else if (path.starts_with(weightsPrefix)) {
        co_await this->send(exchange, percentDecode(path.substr(weightsPrefix.size())));
    } else {
        co_await exchange.respond(standInRefusal(404, "not_found", "no such route"));
    }
}

Asio::awaitable<void> WeightApi::waitForTurn(std::int64_t bytes)
{
    this->busyUntil = std::max(this->busyUntil, monotonicNow()) + Duration(bytes * microsecondsPerSecond / this->bytesPerSecond);
    Asio::steady_timer timer(this->context, this->busyUntil - monotonicNow());
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> WeightApi::send(HttpExchange &exchange, std::string name)
{
    const std::size_t index = this->transfers.size();
    this->transfers.push_back({std::move(name), 0, false});
    HttpHeaders headers;
    headers.push_back({"Content-Type", "application/octet-stream"});
    bool connected = co_await exchange.startStream(200, headers);
    std::int64_t left = this->weightBytes;
    while (connected && left > 0) {
        const std::int64_t bytes = std::min(left, chunkBytes);
        co_await this->waitForTurn(bytes);
        std::string chunk(static_cast<std::size_t>(bytes), 'w');
        connected = co_await exchange.writeChunk(std::move(chunk));
        left -= bytes;
        this->transfers[index].sentBytes += connected ? bytes : 0;
    }
    if (connected) {
        connected = co_await exchange.finishStream();
    }
    this->transfers[index].complete = connected;
}

HttpResponse WeightApi::transfersResponse() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Transfer &transfer : this->transfers) {
        list.push_back({{"name", transfer.name}, {"sent_bytes", transfer.sentBytes}, {"complete", transfer.complete}});
    }
    return jsonResponse(200, nlohmann::json {{"transfers", list}}.dump());
}

} // namespace Godwitfork
