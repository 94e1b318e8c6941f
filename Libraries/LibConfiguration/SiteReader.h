#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibConfiguration/Document.h"

namespace Godwitfork
{

/// Reads the merged document of one site, which is the base with the site's overlay. Reports unknown keys, wrong types,
/// units and ranges, and references to names that the site does not define.
SiteConfiguration readSite(const DocumentNode &merged, Findings &findings);

} // namespace Godwitfork
