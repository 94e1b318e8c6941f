#pragma once

#include "LibHttp/HttpServer.h"

#include <string>

namespace Godwitfork
{

/// Runs a stand-in's HTTP server until SIGTERM or SIGINT. Writes the `listening` event with the bound address to the log, so
/// that whoever started the process on port 0 learns the port.
void runStandIn(const std::string &process, const std::string &name, const HttpAddress &listen, boost::asio::io_context &context, HttpHandler handler);

/// Refusal in the form that all stand-ins use.
HttpResponse standInRefusal(int status, const std::string &code, const std::string &message);

} // namespace Godwitfork
