#pragma once

#include <string_view>

namespace Godwitfork
{

/// Whether the bytes are exactly one CBOR data item, without indefinite lengths and tags, nested at most `maxDepth` deep. The
/// CBOR parser of nlohmann-json recurses once per level, so that a short message could otherwise overflow the stack.
bool isCborWithinDepth(std::string_view bytes, int maxDepth);

} // namespace Godwitfork
