#include "FaultProxy.h"
#include "LibCore/Log.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

using namespace Godwitfork;

namespace
{
void logListening(const FaultProxy &proxy)
{
    nlohmann::ordered_json routes = nlohmann::ordered_json::object();
    for (const auto &[name, route] : proxy.allRoutes()) {
        routes[name] = toText(route->address());
    }
    logEvent(LogLevel::Info, "listening", {{"control", toText(proxy.controlAddress())}, {"routes", routes}});
}

/// Adds the route that an argument `NAME=IP:PORT` describes. Returns false if the argument is malformed.
bool addRoute(FaultProxy &proxy, const std::string &argument)
{
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos || equals == 0) {
        return false;
    }
    const HttpAddress forward = parseHttpAddress(argument.substr(equals + 1));
    if (forward.port == 0) {
        return false;
    }
    proxy.addRoute(argument.substr(0, equals), forward);
    return true;
}
} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Fault-injecting TCP proxy. Logs its addresses as one JSON line.", ' ', "0.1");
    TCLAP::MultiArg<std::string> routes("r", "route", "Route with the address that it forwards to; may be repeated", false, "NAME=IP:PORT", commandLine);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the random jitter", false, 1, "number", commandLine);
    TCLAP::ValueArg<std::string> instance("i", "instance", "Instance name in the log", false, "fault-proxy", "name", commandLine);
    commandLine.parse(argc, argv);

    startLog("godwitfork-fault-proxy", instance.getValue(), LogLevel::Info);
    boost::asio::io_context context;
    FaultProxy proxy(context, seed.getValue());
    for (const std::string &argument : routes.getValue()) {
        if (!addRoute(proxy, argument)) {
            std::cerr << "godwitfork-fault-proxy: '" << argument << "' does not have the form NAME=IP:PORT\n";
            return 2;
        }
    }
    proxy.start();
    logListening(proxy);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
