#include "LibEntry/ListenerLimits.h"

namespace Godwitfork
{

namespace
{
/// Readiness checks and metrics are requested without a body.
constexpr std::uint64_t observerBodyBytes = std::uint64_t {16} * 1024;
} // namespace

HttpServerLimits callerListenerLimits(const EntrySettings &settings, const CallerLimits &limits)
{
    HttpServerLimits serverLimits = listenerLimits(settings.connections, descriptorShares(descriptorLimit()).callers);
    serverLimits.maxHeaderBytes = limits.maxHeaderBytes;
    serverLimits.maxBodyBytes = limits.maxBodyBytes;
    serverLimits.requestTimeout = limits.requestTimeout;
    serverLimits.idleTimeout = limits.idleTimeout;
    return serverLimits;
}

HttpServerLimits peerListenerLimits(const EntrySettings &settings)
{
    return listenerLimits(settings.connections, descriptorShares(descriptorLimit()).peers);
}

HttpServerLimits observerListenerLimits(const EntrySettings &settings)
{
    HttpServerLimits limits = listenerLimits(settings.connections, descriptorShares(descriptorLimit()).others);
    limits.maxBodyBytes = observerBodyBytes;
    return limits;
}

} // namespace Godwitfork
