#include "LibCore/Log.h"
#include "LibEntry/EntryService.h"
#include "LibEntry/EntrySettings.h"
#include "LibSettings/SettingsReader.h"
#include "SettingsLocation.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{
constexpr int exitFindings = 1;
constexpr int exitFailure = 3;
/// Log rate limit: a few lines per request at the current load of an instance, which take a small part of its core.
constexpr double logLinesPerSecond = 150;
constexpr double logBurst = 500;

/// Blocks or unblocks the signals of the platform.
void maskSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(how, &signals, nullptr);
}

int runEntry(int argc, char **argv)
{
    using namespace Godwitfork;
    const char *fromEnvironment = std::getenv(Platform::settingsVariable);
    TCLAP::CmdLine command("godwitfork-entry: routes requests on the users' platform", ' ', "0.1");
    TCLAP::ValueArg<std::string> settingsFile(
        "", "settings", "YAML file with the process settings", false, fromEnvironment ? fromEnvironment : "", "file", command);
    TCLAP::SwitchArg check("", "check-settings", "Report all mistakes in the settings and exit", command);
    TCLAP::SwitchArg print("", "print-settings", "Print the settings in force and exit", command);
    TCLAP::ValueArg<double> memoryLimit("", "memory-limit-mb", "Memory that the process may use, in MB; replaces the setting", false, 0, "MB", command);
    command.parse(argc, argv);
    if (settingsFile.getValue().empty()) {
        std::cerr << "godwitfork-entry: no settings file given: use --settings or set " << Platform::settingsVariable << "\n";
        return exitFindings;
    }
    // Until the service has its handlers, a signal would kill the process; it is delivered once they are there.
    maskSignals(SIG_BLOCK);
    Findings findings;
    EntrySettings settings = parseEntrySettings(settingsFile.getValue(), readFile(settingsFile.getValue()), findings);
    if (memoryLimit.isSet()) {
        // The negated comparison also refuses NaN.
        const double limit = memoryLimit.getValue();
        if (!(limit >= minMemoryLimitMb && limit <= maxMemoryLimitMb)) {
            std::cerr << "godwitfork-entry: --memory-limit-mb must be from " << minMemoryLimitMb << " to " << maxMemoryLimitMb << "\n";
            return exitFindings;
        }
        settings.memoryLimitMb = static_cast<long>(limit);
    }
    if (!findings.isEmpty()) {
        std::cerr << findings.toText();
        return exitFindings;
    }
    if (print.getValue()) {
        std::cout << printEntrySettings(settings);
        return 0;
    }
    if (check.getValue()) {
        return 0;
    }
    // A caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    startLog("godwitfork-entry", settings.instance, settings.logLevel);
    setLogRateLimit(logLinesPerSecond, logBurst);
    EntryService service(settings, settingsFile.getValue());
    maskSignals(SIG_UNBLOCK);
    service.run();
    return 0;
}
} // namespace

int main(int argc, char **argv)
{
    try {
        return runEntry(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "godwitfork-entry: " << error.what() << "\n";
        return exitFailure;
    }
}
