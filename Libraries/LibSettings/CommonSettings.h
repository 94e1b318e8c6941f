#pragma once

#include "LibCore/Log.h"
#include "LibHttp/HttpMessage.h"
#include "LibSettings/SettingsReader.h"

namespace Godwitfork
{

/// Reads a required `ip:port`.
HttpAddress readAddress(SettingsReader &reader, const std::string &key);

/// Reads `log_level`: debug, info, warning or error.
LogLevel readLogLevel(SettingsReader &reader);

} // namespace Godwitfork
