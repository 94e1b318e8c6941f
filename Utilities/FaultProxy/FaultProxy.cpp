#include "FaultProxy.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr std::string_view routePrefix = "/routes/";

HttpResponse errorResponse(int status, const std::string &code, const std::string &message)
{
    const nlohmann::ordered_json body = {{"error", {{"code", code}, {"message", message}}}};
    return jsonResponse(status, body.dump());
}

nlohmann::ordered_json routeToJson(const Route &route)
{
    nlohmann::ordered_json json;
    json["name"] = route.name();
    json["address"] = toText(route.address());
    json["forward"] = toText(route.forward());
    json["faults"] = toJson(route.faults());
    json["open_connections"] = route.openConnections();
    json["frozen_connections"] = route.frozenConnections();
    json["bytes_to_target"] = route.bytesForwarded(Direction::ToTarget);
    json["bytes_to_client"] = route.bytesForwarded(Direction::ToClient);
    return json;
}
} // namespace

FaultProxy::FaultProxy(Asio::io_context &context, std::uint64_t seed)
    : context(context)
    , seed(seed)
    , server(
          context,
          {"127.0.0.1", 0},
          HttpServerLimits(),
          [this](HttpExchange &exchange) -> Asio::awaitable<void> {
              HttpResponse response = this->handleRequest(exchange.request());
              co_await exchange.respond(std::move(response));
          },
          errorResponse)
{
}

void FaultProxy::start()
{
    this->server.start();
}

Route &FaultProxy::addRoute(const std::string &name, const HttpAddress &forward)
{
    auto route = std::make_shared<Route>(this->context, name, forward, this->seed);
    route->start();
    this->routes[name] = route;
    return *route;
}

HttpAddress FaultProxy::controlAddress() const
{
    return this->server.address();
}

const std::map<std::string, std::shared_ptr<Route>> &FaultProxy::allRoutes() const
{
    return this->routes;
}

// GET /routes                  lists all routes with their faults and connections
// PUT /routes/NAME             {"forward": "ip:port"}: adds a route, or changes the address that later connections are forwarded to
// PUT /routes/NAME/faults      replaces the faults of a route
// POST /routes/NAME/freeze     permanently stops forwarding on the open connections of a route, without closing them
HttpResponse FaultProxy::handleRequest(const HttpRequest &request)
{
    const std::string path = targetPath(request.target);
    if (path == "/routes" && request.method == "GET") {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const auto &[name, route] : this->routes) {
            list.push_back(routeToJson(*route));
        }
        return jsonResponse(200, nlohmann::ordered_json {{"routes", list}}.dump());
    }
    if (!path.starts_with(routePrefix)) {
        return errorResponse(404, "not_found", "the path does not exist");
    }
    const std::string rest = path.substr(routePrefix.size());
    const std::string name = percentDecode(rest.substr(0, rest.find('/')));
    const std::string action = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    if (action.empty() && request.method == "PUT" && !name.empty()) {
        return this->putRoute(name, request.body);
    }
    const auto found = this->routes.find(name);
    if (found == this->routes.end()) {
        return errorResponse(404, "route_not_found", "the route '" + name + "' does not exist");
    }
    if (action == "faults" && request.method == "PUT") {
        return this->putFaults(*found->second, request.body);
    }
    if (action == "freeze" && request.method == "POST") {
        return this->freeze(*found->second);
    }
    return errorResponse(404, "not_found", "the path does not exist or does not support the method");
}

HttpResponse FaultProxy::putRoute(const std::string &name, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || json.size() != 1 || !json.contains("forward") || !json["forward"].is_string()) {
        return errorResponse(400, "invalid_route", "the body must have the form {\"forward\": \"ip:port\"}");
    }
    const HttpAddress forward = parseHttpAddress(json["forward"].get<std::string>());
    if (forward.port == 0) {
        return errorResponse(400, "invalid_route", "'forward' must be an IP address and a port");
    }
    const auto found = this->routes.find(name);
    if (found != this->routes.end()) {
        found->second->setForward(forward);
    } else {
        this->addRoute(name, forward);
    }
    const Route &route = *this->routes.at(name);
    logEvent(LogLevel::Info, "route.set", {{"route", name}, {"address", toText(route.address())}, {"forward", toText(forward)}});
    return jsonResponse(200, routeToJson(route).dump());
}

HttpResponse FaultProxy::putFaults(Route &route, const std::string &body)
{
    const auto faults = parseFaults(nlohmann::json::parse(body, nullptr, false));
    if (!faults) {
        return errorResponse(400, faults.error().code, faults.error().message);
    }
    route.setFaults(faults.value());
    logEvent(LogLevel::Info, "faults.set", {{"route", route.name()}, {"faults", toJson(route.faults())}});
    return jsonResponse(200, routeToJson(route).dump());
}

HttpResponse FaultProxy::freeze(Route &route)
{
    const int count = route.freeze();
    logEvent(LogLevel::Info, "connections.frozen", {{"route", route.name()}, {"connections", count}});
    return jsonResponse(200, routeToJson(route).dump());
}

} // namespace Godwitfork
