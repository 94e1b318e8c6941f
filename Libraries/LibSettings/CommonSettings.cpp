#include "LibSettings/CommonSettings.h"

namespace Godwitfork
{

HttpAddress readAddress(SettingsReader &reader, const std::string &key)
{
    const std::string text = reader.requiredText(key);
    HttpAddress address = parseHttpAddress(text);
    if (!text.empty() && address.host.empty()) {
        reader.addFinding(key, "must be an IP address and a port, as in 127.0.0.1:8080");
    }
    return address;
}

LogLevel readLogLevel(SettingsReader &reader)
{
    const std::string name = reader.text("log_level", "info");
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (name == logLevelName(level)) {
            return level;
        }
    }
    reader.addFinding("log_level", "must be debug, info, warning or error");
    return LogLevel::Info;
}

} // namespace Godwitfork
