#pragma once

#include "LibCore/Error.h"
#include "RunRecords.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// Runs one variant once: sends the planned requests at their times, drives the faults and clears them at the end. Request
/// numbers count from `firstNumber`. Failed fault calls are added to `problems`.
std::vector<RequestResult>
runLoad(const Experiment &experiment, std::size_t variant, int repetition, std::int64_t firstNumber, std::vector<std::string> &problems);

struct CheckSources {
    std::vector<EngineExecution> executions;
    std::vector<LedgerRecord> ledger;
};

/// Reads the executions of all engines and the ledger. Fails if a source cannot be read whole.
ErrorOr<CheckSources> readSources(const Experiment &experiment);

} // namespace Godwitfork
