#pragma once

#include "LibConfiguration/ConfigurationFiles.h"
#include "LibConfiguration/Diff.h"
#include "Options.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Godwitfork
{

/// Reads and checks a configuration folder, which holds `base.yaml` and one overlay in each other `*.yaml` file. Throws
/// std::system_error if a file cannot be read.
Outcome<Configuration, Findings> checkFolder(const std::string &folder);

/// Prints the findings and returns `exitRefused`.
int reportFindings(const Findings &findings, OutputFormat format);
/// JSON array of the changes, each with its path, old value and new value.
nlohmann::json changesToJson(const std::vector<ConfigurationDifference> &changes);

/// Runs `check FOLDER` and returns the exit code.
int runCheck(const Options &options);
/// Runs `diff OLD_FOLDER NEW_FOLDER` and returns the exit code.
int runDiff(const Options &options);
/// Runs `render FOLDER SITE` and returns the exit code.
int runRender(const Options &options);

} // namespace Godwitfork
