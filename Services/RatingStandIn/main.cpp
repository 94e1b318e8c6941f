#include "LibStandIn/StandInProcess.h"
#include "RatingApi.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <stdexcept>

namespace
{
/// Splits `model:version=skill`.
std::pair<std::string, double> parseSkill(const std::string &text)
{
    const std::size_t separator = text.rfind('=');
    if (separator == std::string::npos) {
        throw std::invalid_argument("--skill must be model:version=number, not '" + text + "'");
    }
    return {text.substr(0, separator), std::stod(text.substr(separator + 1))};
}
} // namespace

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        TCLAP::CmdLine command("Stand-in for the rating service", ' ', "1");
        TCLAP::ValueArg<std::string> listen("", "listen", "IP address and port", false, "127.0.0.1:0", "ip:port", command);
        TCLAP::ValueArg<std::string> name("", "name", "Name in the log", false, "rating", "name", command);
        TCLAP::MultiArg<std::string> skills("", "skill", "Share of prompts that a version answers well", false, "model:version=number", command);
        TCLAP::ValueArg<int> delay("", "delay-ms", "Mean delay of a rating", false, 1000, "milliseconds", command);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the noise and the delays", false, 1, "number", command);
        command.parse(argc, argv);
        RatingProfile profile;
        for (const std::string &skill : skills.getValue()) {
            profile.skills.insert(parseSkill(skill));
        }
        profile.meanDelay = std::chrono::milliseconds(delay.getValue());
        profile.seed = seed.getValue();
        boost::asio::io_context context;
        RatingApi api(profile);
        runStandIn(
            "standin-rating", name.getValue(), parseHttpAddress(listen.getValue()), context, [&api](HttpExchange &exchange) { return api.handle(exchange); });
    } catch (const std::exception &error) {
        std::cerr << "standin-rating: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
