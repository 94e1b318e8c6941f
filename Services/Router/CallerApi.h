#pragma once

#include "ApiError.h"
#include "LibHttp/HttpServer.h"
#include "Worker.h"

#include <string>

namespace Godwitfork
{

/// Caller API of one traffic thread: checks readiness, authenticates the request and dispatches it to its handler.
class CallerApi
{
public:
    explicit CallerApi(Worker &worker);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    /// Response to a request that the HTTP server rejects before `handle` is called.
    static HttpResponse refuse(int status, const std::string &code, const std::string &message);

private:
    boost::asio::awaitable<std::string> dispatch(HttpExchange &exchange, const std::string &path);
    boost::asio::awaitable<std::string> handleAccountRoute(HttpExchange &exchange, const std::string &path);
    boost::asio::awaitable<std::string> respondWithError(HttpExchange &exchange, ApiError error, std::string requestId);
    HttpResponse modelsResponse(const RoutingSnapshot &snapshot, const ClientAccount &account) const;

    Worker &worker;
};

} // namespace Godwitfork
