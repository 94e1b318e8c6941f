#include "LibStandIn/StandInProcess.h"

#include "LibCore/Log.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace Godwitfork
{

void runStandIn(const std::string &process, const std::string &name, const HttpAddress &listen, boost::asio::io_context &context, HttpHandler handler)
{
    startLog(process, name, LogLevel::Info);
    HttpServerLimits limits;
    limits.maxBodyBytes = 4 * 1024 * 1024;
    HttpServer server(context, listen, limits, std::move(handler), standInRefusal);
    server.start();
    logEvent(LogLevel::Info, "listening", {{"address", toText(server.address())}});
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

HttpResponse standInRefusal(int status, const std::string &code, const std::string &message)
{
    return jsonResponse(status, nlohmann::json {{"error", {{"code", code}, {"message", message}}}}.dump());
}

} // namespace Godwitfork
