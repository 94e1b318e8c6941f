#include "LibStandIn/StandInProcess.h"
#include "ServiceApi.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for a plain service", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        TCLAP::ValueArg<std::string> name("", "name", "Name in the log", false, "service", "name", command);
        TCLAP::ValueArg<int> delay("", "delay-ms", "Time of each call", false, 2, "milliseconds", command);
        TCLAP::SwitchArg fencing("", "check-fencing", "Refuse orders with an old fencing number", command);
        command.parse(argc, argv);
        boost::asio::io_context context;
        const FencingCheck check = fencing.getValue() ? FencingCheck::On : FencingCheck::Off;
        ServiceApi api(context, std::chrono::milliseconds(delay.getValue()), check);
        runStandIn(
            "standin-service", name.getValue(), parseHttpAddress(listen.getValue()), context, [&api](HttpExchange &exchange) { return api.handle(exchange); });
    } catch (const std::exception &error) {
        std::cerr << "standin-service: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
