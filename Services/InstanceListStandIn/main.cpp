#include "InstanceList.h"
#include "LibStandIn/StandInProcess.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for the platform's list of live and leaving instances", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        TCLAP::ValueArg<std::string> name("", "name", "Name in the log", false, "instances", "name", command);
        TCLAP::ValueArg<int> lag("", "lag-ms", "Age of the list that readers see", false, 10000, "milliseconds", command);
        command.parse(argc, argv);
        boost::asio::io_context context;
        InstanceList list(std::chrono::milliseconds(lag.getValue()));
        runStandIn("standin-instances", name.getValue(), parseHttpAddress(listen.getValue()), context, [&list](HttpExchange &exchange) {
            return list.handle(exchange);
        });
    } catch (const std::exception &error) {
        std::cerr << "standin-instances: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
