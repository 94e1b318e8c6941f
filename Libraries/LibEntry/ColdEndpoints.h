#pragma once

#include "LibColdStart/ColdStarts.h"
#include "LibEntry/EntryState.h"

#include <vector>

namespace Godwitfork
{

/// Bound on the requests to cold endpoints of a service; no bound if the service is unknown or states no rate.
ColdRule coldRule(const EntrySettings &settings, const ServiceProperties *service);

/// Records what a registration says of its endpoint's start.
void recordEndpointStart(EntryState &state, const EndpointEntry &endpoint, MonotonicTime now);

/// Removes the endpoints of a service that this instance may not send a request now because they are, or may be, cold.
void removeColdEndpoints(EntryState &state, const ServiceProperties *service, std::vector<const EndpointEntry *> &endpoints, MonotonicTime now);

/// Brings the ranks of this instance up to date, finds endpoints that were lost by what other instances have reported, and logs the endpoints that
/// became cold or warm. Call on each timer tick; does so every 500 ms.
void updateColdEndpoints(EntryState &state, const std::vector<FleetMember> &members, MonotonicTime now);

/// Number of endpoints that are, or may be, cold.
int countColdEndpoints(const EntryState &state, MonotonicTime now);

} // namespace Godwitfork
