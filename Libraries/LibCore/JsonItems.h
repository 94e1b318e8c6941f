#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Member of a JSON object as text.
struct JsonMember {
    /// Key as written, without its quotes and with its escapes.
    std::string_view key;
    /// Value as written; not checked.
    std::string_view value;

    auto operator<=>(const JsonMember &) const = default;
};

/// Split the text of an array or of an object by its strings and nesting alone, so that a value that no parser accepts leaves the others
/// readable. The views point into the text. Fail if it is not an array or object, or if strings or brackets are not balanced.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// Deepest nesting of arrays and objects in the text; 0 for a value without any.
std::size_t jsonDepth(std::string_view text);

} // namespace Godwitfork
