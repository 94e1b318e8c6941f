#include "LibStandIn/StandInProcess.h"
#include "StoreApi.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for the platform's object API", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        command.parse(argc, argv);
        boost::asio::io_context context;
        StoreApi api(context);
        runStandIn("standin-store", "store", parseHttpAddress(listen.getValue()), context, [&api](HttpExchange &exchange) { return api.handle(exchange); });
    } catch (const std::exception &error) {
        std::cerr << "standin-store: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
