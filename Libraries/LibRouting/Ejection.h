#pragma once

#include "LibRouting/EndpointTable.h"

namespace Godwitfork
{

/// Recomputes the group's median time per token, and ejects or readmits the endpoint by its slowness factor. At most 30 % of a
/// group are ejected at a time, since a group that is slow as a whole is overloaded and has no stragglers.
void updateEjection(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);

/// Whether a probe is permitted: at most one in 400 requests, or after 5 s without a probe. Probes are requests of callers and
/// may be slow, so their share is limited.
bool mayProbe(const EndpointTable &table, MonotonicTime now);

/// Whether a suspended endpoint is due for a probe: it has no outstanding request, and its pause has passed.
bool isProbeDue(const RoutedEndpoint &endpoint, MonotonicTime now);

/// Sets the time of the endpoint's next probe; to be called when a probe is sent. The pause doubles with each probe, from 0.5 s
/// to 8 s.
void recordProbe(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);

/// Whether the endpoint is ejected as a straggler or avoided after failures.
bool isSuspended(const RoutedEndpoint &endpoint, MonotonicTime now);

} // namespace Godwitfork
