#pragma once

#include "LibHttp/HttpServer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class FencingCheck { Off, On };

/// One call that the service carried out.
struct ServiceCall {
    std::string requestId;
    std::string idempotencyKey;
    std::string path;
    std::string body;
    std::uint64_t fencing = 0;
    std::int64_t startedMicroseconds = 0;
};

/// HTTP face of the plain service stand-in. It carries out every call that it accepts, also repeated ones, so that tests see
/// duplicates. With fencing checks it refuses a number below the highest one seen for the same idempotency key.
class ServiceApi
{
public:
    ServiceApi(boost::asio::io_context &context, Duration delay, FencingCheck fencing);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<void> handleCall(HttpExchange &exchange);
    HttpResponse executionsResponse() const;

    boost::asio::io_context &context;
    Duration delay;
    FencingCheck fencing;
    std::vector<ServiceCall> calls;
    std::map<std::string, std::uint64_t> highestFencing;
};

} // namespace Godwitfork
