#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibConfiguration/MapReader.h"

#include <map>
#include <set>

namespace Godwitfork
{

/// Versions of each model of a site, as far as references are concerned; a cascade has none.
using VersionNames = std::map<std::string, std::set<std::string, std::less<>>, std::less<>>;

/// Reads the key `models` of a site and fills `names`.
std::map<std::string, Model> readModels(MapReader &site, VersionNames &names, Findings &findings);

} // namespace Godwitfork
