#pragma once

#include "LossRules.h"

#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A request that an endpoint has read.
struct Arrival {
    std::string request;
    std::string endpoint;
    std::string failureDomain;
    MonotonicTime at;
};

/// One evacuation, from its write to its removal.
struct EvacuationTimes {
    std::string failureDomain;
    MonotonicTime begin;
    std::optional<MonotonicTime> end;
};

struct EvacuationBounds {
    Duration limit = std::chrono::seconds(5);
    /// Time without disruption of its instance before an arrival for it to count.
    Duration contact = std::chrono::seconds(4);
};

/// Requests that reached an endpoint of an evacuated failure domain after the limit, from an instance that was in contact.
std::vector<Arrival> findLateArrivals(const std::vector<Arrival> &arrivals,
                                      const std::vector<EvacuationTimes> &evacuations,
                                      const std::vector<RequestRecord> &records,
                                      const std::vector<Disruption> &disruptions,
                                      const EvacuationBounds &bounds);

} // namespace Godwitfork
