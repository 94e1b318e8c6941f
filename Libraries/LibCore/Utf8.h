#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Number of bytes up to the first one that is not part of a valid UTF-8 sequence (RFC 3629); the size of the text if all are.
std::size_t validUtf8Length(std::string_view text);

bool isUtf8(std::string_view text);

/// Replaces each byte that is not part of a valid UTF-8 sequence.
std::string replaceInvalidUtf8(std::string_view text, char replacement);

} // namespace Godwitfork
