#pragma once

#include "Route.h"

#include "LibHttp/HttpServer.h"

#include <map>
#include <memory>
#include <string>

namespace Godwitfork
{

/// Routes of the proxy and its control API. All share one context and one thread.
class FaultProxy
{
public:
    /// Binds the control API to a port of 127.0.0.1 chosen by the kernel. `seed` determines the jitter.
    FaultProxy(boost::asio::io_context &context, std::uint64_t seed);

    void start();
    Route &addRoute(const std::string &name, const HttpAddress &forward);
    HttpAddress controlAddress() const;
    const std::map<std::string, std::shared_ptr<Route>> &allRoutes() const;

private:
    HttpResponse answer(const HttpRequest &request);
    HttpResponse putRoute(const std::string &name, const std::string &body);
    HttpResponse putFaults(Route &route, const std::string &body);
    HttpResponse freeze(Route &route);

    boost::asio::io_context &context;
    std::uint64_t seed;
    std::map<std::string, std::shared_ptr<Route>> routes;
    HttpServer server;
};

} // namespace Godwitfork
