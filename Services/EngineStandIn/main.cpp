#include "EngineApi.h"
#include "LibStandIn/StandInProcess.h"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for a model engine", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        TCLAP::ValueArg<std::string> name("", "name", "Name in the log", false, "engine", "name", command);
        TCLAP::MultiArg<std::string> serves("", "serves", "Model and version it serves", true, "model:version", command);
        TCLAP::ValueArg<int> firstToken("", "first-token-ms", "Time to the first token", false, 5, "milliseconds", command);
        TCLAP::ValueArg<int> perToken("", "token-us", "Time of each further token", false, 1000, "microseconds", command);
        TCLAP::ValueArg<int> slots("", "slots", "Requests that run at full speed", false, 64, "count", command);
        TCLAP::ValueArg<double> skill("", "skill", "Share of prompts answered well", false, 1, "0 to 1", command);
        command.parse(argc, argv);
        EngineProfile profile;
        profile.name = name.getValue();
        profile.serves = {serves.getValue().begin(), serves.getValue().end()};
        profile.firstToken = std::chrono::milliseconds(firstToken.getValue());
        profile.perToken = Duration(perToken.getValue());
        profile.slots = slots.getValue();
        profile.skill = skill.getValue();
        boost::asio::io_context context;
        EngineApi api(context, profile);
        runStandIn(
            "standin-engine", profile.name, parseHttpAddress(listen.getValue()), context, [&api](HttpExchange &exchange) { return api.handle(exchange); });
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
