#pragma once

#include "LibHttp/HttpServer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwitfork
{

/// HTTP face of the weight store stand-in. `GET /v1/weights/<model:version>` streams a fixed number of bytes. All transfers
/// share one rate, as those of the platform's weight store do. `GET /transfers` lists what was sent.
class WeightApi
{
public:
    WeightApi(boost::asio::io_context &context, std::int64_t bytesPerSecond, std::int64_t weightBytes);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    struct Transfer {
        std::string name;
        std::int64_t sentBytes = 0;
        bool complete = false;
    };

    boost::asio::awaitable<void> send(HttpExchange &exchange, std::string name);
    boost::asio::awaitable<void> waitForTurn(std::int64_t bytes);
    HttpResponse transfersResponse() const;

    boost::asio::io_context &context;
    std::int64_t bytesPerSecond;
    std::int64_t weightBytes;
    /// Time at which the bytes granted so far have been sent.
    MonotonicTime busyUntil;
    std::vector<Transfer> transfers;
};

} // namespace Godwitfork
