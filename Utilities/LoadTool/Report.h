#pragma once

#include "LibChecker/Checker.h"
#include "Statistics.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Godwitfork
{

/// Everything that one call of the tool found.
struct Report {
    /// For each variant: all repetitions together, then each repetition.
    std::vector<VariantStatistics> statistics;
    /// Calls of a fault proxy that failed, and check sources that could not be read.
    std::vector<std::string> problems;
    enum class Check { NotRun, Done } check = Check::NotRun;
    std::vector<Violation> violations;
};

nlohmann::ordered_json toJson(const Experiment &experiment, const Report &report);
std::string toTable(const Experiment &experiment, const Report &report);

/// Writes `results.json`, `table.txt`, the plot data and `plots.gnuplot` into a folder, and runs gnuplot if it is installed.
/// Throws std::system_error or std::filesystem::filesystem_error.
void writeReport(const std::string &folder, const Experiment &experiment, const Report &report);

} // namespace Godwitfork
