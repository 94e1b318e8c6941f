#pragma once

#include "LibConfiguration/Document.h"

namespace Godwitfork
{

/// Applies an overlay to the base: maps are merged by key, any other value replaces the base's value, and `!remove`
/// deletes the base's entry. Reports overlay values that equal the base's and removals of entries that the base does not
/// have, since an overlay contains only differences. An overlay that is not a map changes nothing.
DocumentNode mergeOverlay(const DocumentNode &base, const DocumentNode &overlay, Findings &findings);

} // namespace Godwitfork
