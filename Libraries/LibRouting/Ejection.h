#pragma once

#include "LibRouting/EndpointTable.h"

namespace Godwitfork
{

/// Computes the group's usual time per token again and ejects or readmits the endpoint by its slowness. A bounded share
/// of the group is ejected at a time, since a group that is slow as a whole is loaded and has no stragglers.
void updateEjection(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);

/// Whether the traffic so far allows a probe. Probes are requests of callers and may be slow, so they stay a small share.
bool mayProbe(const EndpointTable &table, MonotonicTime now);

/// An ejected or failed endpoint that is due for a probe: idle, and its pause has passed.
bool isProbeDue(const RoutedEndpoint &endpoint, MonotonicTime now);

/// Sets the time of the next probe; to be called when a probe is sent. The pause doubles with each probe.
void recordProbe(EndpointTable &table, EndpointIndex endpoint, MonotonicTime now);

/// Ejected as a straggler, or avoided after failures.
bool isSuspended(const RoutedEndpoint &endpoint, MonotonicTime now);

} // namespace Godwitfork
