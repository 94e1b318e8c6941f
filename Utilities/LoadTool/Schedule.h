#pragma once

#include "Experiment.h"

#include <vector>

namespace Godwitfork
{

enum class ResponseForm { Whole, Streamed };

/// One request of an open-loop run, fixed before the run starts.
struct PlannedRequest {
    /// Intended send time since the start of the run.
    Duration at = {};
    std::size_t account = 0;
    ResponseForm form = ResponseForm::Streamed;
    /// Empty without a session.
    std::string session;
    bool isLong = false;
    std::string prompt;
    int promptWords = 0;
    int tokens = 0;

    auto operator<=>(const PlannedRequest &) const = default;
};

/// Arrival rate at a time of the run.
double rateAt(const Experiment &experiment, Duration time);

/// Poisson arrivals of one repetition. The same experiment and repetition yield the same requests for every variant.
std::vector<PlannedRequest> planRequests(const Experiment &experiment, int repetition);

} // namespace Godwitfork
