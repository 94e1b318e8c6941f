#pragma once

#include "LibCore/Log.h"
#include "LibHttp/HttpMessage.h"
#include "LibSettings/SettingsReader.h"

namespace Godwitfork
{

/// Reads a required address of the form `ip:port`.
HttpAddress readAddress(SettingsReader &reader, const std::string &key);

/// Reads the key `log_level`: debug, info (the default), warning or error.
LogLevel readLogLevel(SettingsReader &reader);

} // namespace Godwitfork
