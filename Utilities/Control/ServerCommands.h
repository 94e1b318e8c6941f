#pragma once

#include "Options.h"

namespace Godwitfork
{

int runApply(const Options &options);
int runHistory(const Options &options);
int runStatus(const Options &options);
/// `spend` and `bill YYYY-MM`.
int runSpend(const Options &options);
int runBill(const Options &options);
/// `withdraw MODEL:VERSION`, and `set-state MODEL:VERSION STATE`.
int runSetState(const Options &options);
/// `drain ENDPOINT` and `undrain ENDPOINT`.
int runDrain(const Options &options);

} // namespace Godwitfork
