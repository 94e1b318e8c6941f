#include "LibTimeLine/TimeLine.h"

#include <tclap/CmdLine.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace Godwitfork;

namespace
{
constexpr int exitMalformed = 2;

std::string readText(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw std::runtime_error("cannot open log file " + path);
    }
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}
} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Merges JSON Lines logs into one time line. Exit status 2: some lines were malformed.", ' ', "1");
        TCLAP::UnlabeledMultiArg<std::string> files("logs", "Log files", true, "file", command);
        TCLAP::ValueArg<std::string> html("", "html", "Write an HTML page to this file instead of text to standard output", false, "", "file", command);
        TCLAP::ValueArg<std::string> request("", "request", "Only events of requests whose identity has this prefix", false, "", "text", command);
        TCLAP::ValueArg<std::string> instance("", "instance", "Only events of instances whose name has this prefix", false, "", "text", command);
        TCLAP::ValueArg<std::string> event("", "event", "Only events whose name has this prefix", false, "", "text", command);
        command.parse(argc, argv);

        Findings findings;
        std::vector<LogEvent> events;
        for (const std::string &file : files.getValue()) {
            std::vector<LogEvent> parsed = parseLog(file, readText(file), findings);
            events.insert(events.end(), std::make_move_iterator(parsed.begin()), std::make_move_iterator(parsed.end()));
        }
        const bool isComplete = findings.isEmpty();
        // The filter is applied after the merge, because the clock estimates need all events.
        const TimeLine timeLine =
            filterEvents(mergeEvents(std::move(events), std::move(findings)), {request.getValue(), instance.getValue(), event.getValue()});
        if (html.getValue().empty()) {
            std::cout << renderText(timeLine);
        } else {
            std::ofstream stream(html.getValue(), std::ios::binary);
            stream << renderHtml(timeLine);
            stream.close();
            if (!stream) {
                throw std::runtime_error("cannot write HTML page " + html.getValue());
            }
        }
        return isComplete ? 0 : exitMalformed;
    } catch (const std::exception &error) {
        std::cerr << "godwitfork-timeline: " << error.what() << "\n";
        return 1;
    }
}
