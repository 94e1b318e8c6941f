#include "LoadRun.h"
#include "Report.h"

#include <tclap/CmdLine.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

using namespace Godwitfork;

namespace
{
constexpr int exitInvalid = 2;
constexpr int exitViolated = 3;

std::string readText(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw std::runtime_error("cannot read " + path);
    }
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::map<std::string, std::string> parseVariables(const std::vector<std::string> &arguments)
{
    std::map<std::string, std::string> variables;
    for (const std::string &argument : arguments) {
        const std::size_t equals = argument.find('=');
        if (equals == std::string::npos) {
            throw std::runtime_error("'" + argument + "' is not of the form NAME=VALUE");
        }
        variables[argument.substr(0, equals)] = argument.substr(equals + 1);
    }
    return variables;
}

/// Engines and the store keep what earlier runs left, which no caller of this run knows.
void removeEarlier(CheckSources &sources, const CheckSources &earlier)
{
    std::set<std::string> identities;
    for (const EngineExecution &execution : earlier.executions) {
        identities.insert(execution.requestId);
    }
    for (const LedgerRecord &record : earlier.ledger) {
        identities.insert(record.requestId);
    }
    std::erase_if(sources.executions, [&](const EngineExecution &execution) { return identities.contains(execution.requestId); });
    std::erase_if(sources.ledger, [&](const LedgerRecord &record) { return identities.contains(record.requestId); });
}

void runCheck(const Experiment &experiment, const std::vector<RequestResult> &results, const CheckSources &earlier, Report &report)
{
    std::this_thread::sleep_for(experiment.settle);
    auto sources = readSources(experiment);
    if (!sources) {
        report.problems.push_back(sources.error().message);
        return;
    }
    removeEarlier(sources.value(), earlier);
    CheckInput input;
    input.sent = static_cast<std::int64_t>(results.size());
    for (const RequestResult &result : results) {
        input.callers.push_back(result.caller);
    }
    input.executions = std::move(sources.value().executions);
    input.ledger = std::move(sources.value().ledger);
    report.violations = findViolations(input);
    report.check = Report::Check::Done;
}

Report runExperiment(const Experiment &experiment)
{
    Report report;
    CheckSources earlier;
    const bool checks = !experiment.engines.empty();
    if (checks) {
        auto sources = readSources(experiment);
        if (!sources) {
            throw std::runtime_error("check source: " + sources.error().message);
        }
        earlier = std::move(sources).value();
    }
    std::vector<RequestResult> results;
    const std::size_t variants = experiment.variants.size();
    for (int repetition = 0; repetition < experiment.repetitions; ++repetition) {
        for (std::size_t turn = 0; turn < variants; ++turn) {
            // The order changes with each repetition, so that a trend of the machine's load favours no variant.
            const std::size_t variant = (turn + static_cast<std::size_t>(repetition)) % variants;
            std::cerr << "repetition " << repetition << ", variant " << experiment.variants[variant].name << "\n";
            auto run = runLoad(experiment, variant, repetition, static_cast<std::int64_t>(results.size()), report.problems);
            std::move(run.begin(), run.end(), std::back_inserter(results));
        }
    }
    for (std::size_t variant = 0; variant < variants; ++variant) {
        for (int repetition = -1; repetition < experiment.repetitions; ++repetition) {
            report.statistics.push_back(summarize(experiment, results, variant, repetition));
        }
    }
    if (checks) {
        runCheck(experiment, results, earlier, report);
    }
    return report;
}
} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Load and experiment tool. Exit status 2: invalid experiment; 3: the check found violations or was not possible.", ' ', "1");
        TCLAP::UnlabeledValueArg<std::string> file("experiment", "Experiment file (YAML)", true, "", "file", command);
        TCLAP::MultiArg<std::string> sets("", "set", "Value of ${NAME} in the file", false, "NAME=VALUE", command);
        TCLAP::ValueArg<std::string> out("", "out", "Folder for the results", false, "results", "folder", command);
        command.parse(argc, argv);
        Findings findings;
        const Experiment experiment = parseExperiment(file.getValue(), readText(file.getValue()), parseVariables(sets.getValue()), findings);
        if (!findings.isEmpty()) {
            std::cerr << findings.toText();
            return exitInvalid;
        }
        const Report report = runExperiment(experiment);
        writeReport(out.getValue(), experiment, report);
        std::cout << toTable(experiment, report);
        const bool checkMissing = !experiment.engines.empty() && report.check == Report::Check::NotRun;
        return report.violations.empty() && !checkMissing ? 0 : exitViolated;
    } catch (const std::exception &error) {
        std::cerr << "godwitfork-load: " << error.what() << "\n";
        return 1;
    }
}
