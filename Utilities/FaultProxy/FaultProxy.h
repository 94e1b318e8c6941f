#pragma once

#include "Route.h"

#include "LibHttp/HttpServer.h"

#include <map>
#include <memory>
#include <string>

namespace Godwitfork
{

/// Fault-injecting TCP proxy: a set of routes and the control API. All run on the context's thread.
class FaultProxy
{
public:
    /// Binds the control API to 127.0.0.1 and a port that the kernel chooses. `seed` determines the jitter of all routes.
    FaultProxy(boost::asio::io_context &context, std::uint64_t seed);

    /// Starts to accept requests to the control API.
    void start();
    /// Adds a route and starts it.
    Route &addRoute(const std::string &name, const HttpAddress &forward);
    /// Address of the control API.
    HttpAddress controlAddress() const;
    /// Routes by name.
    const std::map<std::string, std::shared_ptr<Route>> &allRoutes() const;

private:
    /// Handles a request to the control API.
    HttpResponse handleRequest(const HttpRequest &request);
    HttpResponse putRoute(const std::string &name, const std::string &body);
    HttpResponse putFaults(Route &route, const std::string &body);
    HttpResponse freeze(Route &route);

    boost::asio::io_context &context;
    std::uint64_t seed;
    std::map<std::string, std::shared_ptr<Route>> routes;
    HttpServer server;
};

} // namespace Godwitfork
