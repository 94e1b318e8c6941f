#include "LibStandIn/StandInProcess.h"
#include "WeightApi.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for the rate-limited weight store", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        TCLAP::ValueArg<std::string> name("", "name", "Name in the log", false, "weights", "name", command);
        TCLAP::ValueArg<std::int64_t> rate("", "bytes-per-second", "Rate that all transfers share", false, 16 * 1024 * 1024, "bytes", command);
        TCLAP::ValueArg<std::int64_t> size("", "weight-bytes", "Size of each version's weights", false, 4 * 1024 * 1024, "bytes", command);
        command.parse(argc, argv);
        boost::asio::io_context context;
        WeightApi api(context, rate.getValue(), size.getValue());
        runStandIn(
            "standin-weights", name.getValue(), parseHttpAddress(listen.getValue()), context, [&api](HttpExchange &exchange) { return api.handle(exchange); });
    } catch (const std::exception &error) {
        std::cerr << "standin-weights: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
