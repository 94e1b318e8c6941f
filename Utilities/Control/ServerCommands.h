#pragma once

#include "Options.h"

namespace Godwitfork
{

/// Runs `apply FOLDER` and returns the exit code.
int runApply(const Options &options);
/// Runs `history` and returns the exit code.
int runHistory(const Options &options);
/// Runs `status` and returns the exit code.
int runStatus(const Options &options);
/// Runs `spend` and returns the exit code.
int runSpend(const Options &options);
/// Runs `bill YYYY-MM` and returns the exit code.
int runBill(const Options &options);
/// Runs `withdraw MODEL:VERSION` or `set-state MODEL:VERSION STATE` and returns the exit code.
int runSetState(const Options &options);
/// Runs `drain ENDPOINT` or `undrain ENDPOINT` and returns the exit code.
int runDrain(const Options &options);

} // namespace Godwitfork
