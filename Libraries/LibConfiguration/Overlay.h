#pragma once

#include "LibConfiguration/Document.h"

namespace Godwitfork
{

/// The base with an overlay's differences: maps are merged by key, any other value replaces the base's, and `!remove`
/// takes the base's entry out. Reports overlay values that equal the base's and removals of entries that the base does
/// not have, since an overlay states only what differs. An overlay that is not a map changes nothing.
DocumentNode mergeOverlay(const DocumentNode &base, const DocumentNode &overlay, Findings &findings);

} // namespace Godwitfork
