#include "FileCommands.h"
#include "LibSettings/SettingsReader.h"
#include "ServerCommands.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <stdexcept>

namespace Godwitfork
{

namespace
{
/// Entry of the table of commands.
struct Command {
    const char *name;
    /// Number of arguments, which the command requires exactly.
    std::size_t arguments;
    bool needsServer;
    int (*run)(const Options &);
    const char *usage;
};

constexpr Command commands[] = {
    {"check", 1, false, runCheck, "check FOLDER"},
    {"diff", 2, false, runDiff, "diff OLD_FOLDER NEW_FOLDER"},
    {"render", 2, false, runRender, "render FOLDER SITE"},
    {"apply", 1, true, runApply, "apply FOLDER --based-on REVISION"},
    {"history", 0, true, runHistory, "history"},
    {"status", 0, true, runStatus, "status"},
    {"spend", 0, true, runSpend, "spend"},
    {"bill", 1, true, runBill, "bill YYYY-MM"},
    {"withdraw", 1, true, runSetState, "withdraw MODEL:VERSION"},
    {"set-state", 2, true, runSetState, "set-state MODEL:VERSION candidate|stable|withdrawn"},
    {"drain", 1, true, runDrain, "drain ENDPOINT"},
    {"undrain", 1, true, runDrain, "undrain ENDPOINT"},
};

std::string usageText()
{
    std::string text = "Administers a godwitfork deployment. Commands:";
    for (const Command &command : commands) {
        text += "\n  " + std::string(command.usage);
    }
    return text;
}

/// Invalid command line.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Command that the options name. Throws UsageError if it is unknown or an argument or option is missing.
const Command &findCommand(const Options &options)
{
    const auto found = std::find_if(std::begin(commands), std::end(commands), [&](const Command &command) { return command.name == options.command; });
    if (found == std::end(commands)) {
        throw UsageError("unknown command '" + options.command + "'\n" + usageText());
    }
    if (options.arguments.size() != found->arguments) {
        throw UsageError(std::string("usage: godwitforkctl ") + found->usage);
    }
    if (found->needsServer && options.servers.empty()) {
        throw UsageError("this command requires --server");
    }
    if (found->needsServer && options.operatorKey.empty()) {
        throw UsageError("this command requires --key-file with a file that holds an operator key");
    }
    return *found;
}

HttpAddress parseServer(const std::string &text)
{
    HttpAddress address = parseHttpAddress(text);
    if (address.host.empty()) {
        throw UsageError("'" + text + "' is not an IP address with a port");
    }
    return address;
}

/// Key from a file without the line break at its end; empty without a file.
std::string readKey(const std::string &file)
{
    std::string key = file.empty() ? std::string() : readFile(file);
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    return key;
}

void checkBasedOn(const std::string &text)
{
    constexpr std::size_t maxDigits = 19;
    const bool isNumber = text.size() <= maxDigits && text.find_first_not_of("0123456789") == std::string::npos;
    if (text != "current" && !isNumber) {
        throw UsageError("--based-on must be a revision number or 'current'");
    }
}

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line(usageText(), ' ', "0.1");
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> command("command", "Command", true, "", "command", line);
    TCLAP::UnlabeledMultiArg<std::string> arguments("arguments", "Arguments of the command", false, "argument", line);
    TCLAP::MultiArg<std::string> servers("", "server", "Administration address of an instance; may be repeated", false, "ip:port", line);
    TCLAP::ValueArg<std::string> keyFile("", "key-file", "File that holds the operator key", false, "", "file", line);
    std::vector<std::string> formats {"text", "json"};
    TCLAP::ValuesConstraint<std::string> formatConstraint(formats);
    TCLAP::ValueArg<std::string> output("", "output", "Output format", false, "text", &formatConstraint, line);
    TCLAP::ValueArg<std::string> site("", "site", "Site to change; all sites if not given", false, "", "site", line);
    TCLAP::ValueArg<std::string> comment("", "comment", "Comment for the history", false, "", "text", line);
    TCLAP::ValueArg<std::string> basedOn("", "based-on", "Revision that the files are based on, or 'current'", false, "", "revision", line);
    TCLAP::ValueArg<std::string> token(
        "", "token", "Token that an earlier attempt of the same command printed; prevents a second change", false, "", "token", line);
    TCLAP::SwitchArg reinstate("", "reinstate", "Allow a withdrawn version to return to service", line);
    TCLAP::SwitchArg allowNoStableVersion("", "allow-no-stable-version", "Allow a model without a stable version", line);
    TCLAP::ValueArg<int> limit("", "limit", "Largest number of revisions to list", false, 20, "number", line);
    TCLAP::ValueArg<int> wait("", "wait", "Longest time to wait until the revision is in force on all instances, in seconds", false, 0, "seconds", line);
    line.parse(argc, argv);

    Options options;
    options.command = command.getValue();
    options.arguments = arguments.getValue();
    for (const std::string &server : servers.getValue()) {
        options.servers.push_back(parseServer(server));
    }
    options.operatorKey = readKey(keyFile.getValue());
    options.output = output.getValue() == "json" ? OutputFormat::Json : OutputFormat::Text;
    options.site = site.getValue();
    options.comment = comment.getValue();
    checkBasedOn(basedOn.getValue());
    options.basedOn = basedOn.getValue();
    options.token = token.getValue();
    options.mayReinstate = reinstate.getValue();
    options.mayLeaveNoStableVersion = allowNoStableVersion.getValue();
    options.limit = std::max(0, limit.getValue());
    options.wait = std::chrono::seconds(std::max(0, wait.getValue()));
    return options;
}
} // namespace

} // namespace Godwitfork

int main(int argc, char **argv)
{
    using namespace Godwitfork;
    try {
        const Options options = parseOptions(argc, argv);
        return findCommand(options).run(options);
    } catch (const TCLAP::ExitException &exit) {
        // Thrown after --help and --version.
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "godwitforkctl: " << error.error() << " " << error.argId() << "\n";
    } catch (const std::exception &error) {
        std::cerr << "godwitforkctl: " << error.what() << "\n";
    }
    return exitUsage;
}
