#pragma once

#include "LibEntry/EntrySettings.h"
#include "LibGateway/RouteConfiguration.h"
#include "LibHttp/HttpServer.h"

namespace Godwitfork
{

/// Limits of the callers' listener under the limits of the configuration.
HttpServerLimits callerListenerLimits(const EntrySettings &settings, const CallerLimits &limits);
/// Limits of the listener for the other instances.
HttpServerLimits peerListenerLimits(const EntrySettings &settings);
/// Limits of the listeners for readiness and metrics.
HttpServerLimits observerListenerLimits(const EntrySettings &settings);

} // namespace Godwitfork
