#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibConfiguration/Document.h"

namespace Godwitfork
{

/// Reads the merged document of one site: the base with the site's overlay. Reports unknown keys, wrong types, units and
/// ranges, and references to names that do not exist at the site.
SiteConfiguration readSite(const DocumentNode &merged, Findings &findings);

} // namespace Godwitfork
