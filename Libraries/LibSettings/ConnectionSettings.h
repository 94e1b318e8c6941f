#pragma once

#include "LibHttp/DescriptorShares.h"
#include "LibHttp/EvictionRules.h"
#include "LibHttp/HttpServer.h"
#include "LibSettings/SettingsReader.h"

#include <string>

namespace Godwitfork
{

/// Limits of the callers' connections that keep clients from exhausting a process.
struct ConnectionSettings {
    int maxConnections = 4096;
    /// Most connections of one address, in hundredths of all.
    int addressSharePercent = 75;
    ProgressLimits progress;

    auto operator<=>(const ConnectionSettings &) const = default;
};

ConnectionSettings readConnectionSettings(SettingsReader &reader);
/// Lines of YAML with every setting and its value in force.
std::string printConnectionSettings(const ConnectionSettings &settings);
/// Limits of a listener that may hold `share` connections.
HttpServerLimits listenerLimits(const ConnectionSettings &settings, int share);

} // namespace Godwitfork
