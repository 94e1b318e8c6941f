#include "LibCore/JsonItems.h"

#include <algorithm>
#include <iterator>

namespace Godwitfork
{

namespace
{
constexpr std::string_view space = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const std::size_t start = text.find_first_not_of(space);
    return start == std::string_view::npos ? std::string_view() : text.substr(start, text.find_last_not_of(space) - start + 1);
}

/// Returns the position after the string that starts at `position`, or after the text if the string has no end.
std::size_t skipString(std::string_view text, std::size_t position)
{
    for (++position; position < text.size() && text[position] != '"'; ++position) {
        position += text[position] == '\\' ? 1 : 0;
    }
    return position + 1;
}

/// Splits the content between a pair of brackets at the separators that are in no string and no inner bracket.
std::optional<std::vector<std::string_view>> splitContent(std::string_view text, char open, char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t start = 0;
    for (std::size_t i = 0; i < text.size();) {
        const char character = text[i];
        if (character == '"') {
            i = skipString(text, i);
            if (i > text.size()) {
                return std::nullopt;
            }
            continue;
        }
        if (character == '[' || character == '{') {
            ++depth;
        } else if (character == ']' || character == '}') {
            if (depth == 0) {
                return std::nullopt;
            }
            --depth;
        } else if (character == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(start, i - start)));
            start = i + 1;
        }
        ++i;
    }
    if (depth != 0) {
        return std::nullopt;
    }
    const std::string_view last = trimmed(text.substr(start));
    if (!last.empty() || !parts.empty()) {
        parts.push_back(last);
    }
    return parts;
}

JsonMember toMember(std::string_view part)
{
    if (part.empty() || part.front() != '"') {
        return {{}, part};
    }
    const std::size_t end = skipString(part, 0);
    const std::string_view rest = trimmed(part.substr(end));
    if (rest.empty() || rest.front() != ':') {
        return {{}, part};
    }
    return {part.substr(1, end - 2), trimmed(rest.substr(1))};
}
} // namespace

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    return splitContent(text, '[', ']');
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    const auto parts = splitContent(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    std::transform(parts->begin(), parts->end(), std::back_inserter(members), toMember);
    return members;
}

std::size_t jsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    for (std::size_t i = 0; i < text.size();) {
        if (text[i] == '"') {
            i = skipString(text, i);
            continue;
        }
        if (text[i] == '[' || text[i] == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((text[i] == ']' || text[i] == '}') && depth > 0) {
            --depth;
        }
        ++i;
    }
    return deepest;
}

} // namespace Godwitfork
