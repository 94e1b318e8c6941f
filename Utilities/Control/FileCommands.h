#pragma once

#include "LibConfiguration/ConfigurationFiles.h"
#include "LibConfiguration/Diff.h"
#include "Options.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Godwitfork
{

/// Reads and checks a configuration folder: `base.yaml`, and every other `*.yaml` as an overlay. Throws
/// std::system_error if a file cannot be read.
Outcome<Configuration, Findings> checkFolder(const std::string &folder);

/// Prints the findings and returns the exit code for them.
int reportFindings(const Findings &findings, OutputForm form);
nlohmann::json changesJson(const std::vector<ConfigurationDifference> &changes);

int runCheck(const Options &options);
int runDiff(const Options &options);
int runRender(const Options &options);

} // namespace Godwitfork
