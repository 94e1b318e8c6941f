#include "LibSettings/ConnectionSettings.h"

#include <algorithm>
#include <sstream>

namespace Godwitfork
{

ConnectionSettings readConnectionSettings(SettingsReader &reader)
{
    ConnectionSettings settings;
    settings.maxConnections = static_cast<int>(reader.integer("max_connections", settings.maxConnections, 1, 100'000));
    settings.addressSharePercent = static_cast<int>(reader.integer("address_share_percent", settings.addressSharePercent, 1, 100));
    settings.progress.grace = reader.milliseconds("body_grace_ms", 10'000, 100, 600'000);
    settings.progress.bytesPerSecond = static_cast<double>(reader.integer("min_body_bytes_per_s", 1024, 0, 1'000'000'000));
    return settings;
}

std::string printConnectionSettings(const ConnectionSettings &settings)
{
    std::ostringstream out;
    out << "max_connections: " << settings.maxConnections << "\n"
        << "address_share_percent: " << settings.addressSharePercent << "\n"
        << "body_grace_ms: " << toMilliseconds(settings.progress.grace) << "\n"
        << "min_body_bytes_per_s: " << static_cast<long>(settings.progress.bytesPerSecond) << "\n";
    return out.str();
}

HttpServerLimits listenerLimits(const ConnectionSettings &settings, int share)
{
    HttpServerLimits limits;
    limits.maxConnections = std::min(settings.maxConnections, share);
    limits.addressSharePercent = settings.addressSharePercent;
    limits.progress = settings.progress;
    return limits;
}

} // namespace Godwitfork
