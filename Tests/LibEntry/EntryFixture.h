#pragma once

#include "LibEntry/RequestRun.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A router in this process with endpoints that the test scripts, over connections on the loopback.
class EntryFixture
{
public:
    using EndpointScript = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    EntryFixture();

    /// Adds a ready endpoint that answers as the script says.
    void addEndpoint(const std::string &id, EndpointScript script);
    void setRoute(Route route);
    /// Sends a request to the router and runs until it is answered or the connection is lost. Status 0 means lost.
    HttpResponse send(HttpHeaders headers);

    EntryState state;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

    boost::asio::io_context context;
    HttpClient routerClient;
    HttpClient callerClient;
    EntryMetrics metrics;
    EntryContext requestContext;
    HttpServer router;
    std::vector<std::unique_ptr<HttpServer>> endpoints;
};

/// Route to the service `pool` for all paths of `h.example`.
Route makeRoute(RepeatRule rule, int attemptLimit);
/// Headers that a sound endpoint's answer to a request has.
HttpHeaders soundHeaders(const HttpExchange &exchange);
HttpHeaders callerHeaders(const std::string &id);

} // namespace Godwitfork
