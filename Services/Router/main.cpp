#include "LibCore/Log.h"
#include "LibSettings/SettingsReader.h"
#include "Router.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace
{
constexpr int exitFindings = 1;
constexpr int exitFailure = 3;

int runRouter(int argc, char **argv)
{
    using namespace Godwitfork;
    TCLAP::CmdLine command("godwitfork router: routes client requests to model and service endpoints", ' ', "0.1");
    TCLAP::ValueArg<std::string> settingsFile("", "settings", "YAML file with the process settings", true, "", "file", command);
    TCLAP::SwitchArg check("", "check-settings", "Report all errors in the settings and exit", command);
    TCLAP::SwitchArg print("", "print-settings", "Print the effective settings and exit", command);
    command.parse(argc, argv);

    Findings findings;
    const RouterSettings settings = parseRouterSettings(settingsFile.getValue(), readFile(settingsFile.getValue()), findings);
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return exitFindings;
    }
    if (print.getValue()) {
        std::cout << printRouterSettings(settings);
        return 0;
    }
    if (check.getValue()) {
        return 0;
    }
    // Writing to a connection that the caller has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    startLog("godwitfork-router", settings.instance, settings.logLevel);
    Router router(settings);
    router.run();
    return 0;
}
} // namespace

int main(int argc, char **argv)
{
    try {
        return runRouter(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "godwitfork-router: " << error.what() << "\n";
        return exitFailure;
    }
}
