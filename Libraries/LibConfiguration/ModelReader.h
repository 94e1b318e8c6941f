#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibConfiguration/MapReader.h"

#include <map>
#include <set>

namespace Godwitfork
{

/// Names of the versions of each model of a site, against which references are checked. A cascade has no versions.
using VersionNames = std::map<std::string, std::set<std::string, std::less<>>, std::less<>>;

/// Reads the key `models` of a site and fills `names`.
std::map<std::string, Model> readModels(MapReader &site, VersionNames &names, Findings &findings);

} // namespace Godwitfork
