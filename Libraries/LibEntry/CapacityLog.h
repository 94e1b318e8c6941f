#pragma once

#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Returns the learned speed of each endpoint that accepts requests; empty unless capacity is learned.
std::vector<CapacityGauge> capacityGauges(const EntryState &state, MonotonicTime now);

/// Logs an endpoint's learned speed when it has changed considerably.
class CapacityLog
{
public:
    /// Logs the largest changes since the last lines; call it every few seconds.
    void logChanges(const EntryState &state, MonotonicTime now);

private:
    /// Relative time that was last logged, by endpoint; 1 for the others.
    std::map<std::string, double> logged;
};

} // namespace Godwitfork
