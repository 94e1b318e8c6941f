#include "LibCore/Utf8.h"

#include <cstdint>

namespace Godwitfork
{

namespace
{
/// Range of the second byte of a sequence, and the number of bytes after the first; RFC 3629, section 4.
struct SequenceRule {
    std::uint8_t secondLeast = 0x80;
    std::uint8_t secondMost = 0xbf;
    std::size_t following = 0;
};

SequenceRule ruleFor(std::uint8_t first)
{
    if (first < 0x80) {
        return {0x80, 0xbf, 0};
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return {0x80, 0xbf, 1};
    }
    if (first >= 0xe0 && first <= 0xef) {
        // Excludes overlong sequences and surrogates.
        return {static_cast<std::uint8_t>(first == 0xe0 ? 0xa0 : 0x80), static_cast<std::uint8_t>(first == 0xed ? 0x9f : 0xbf), 2};
    }
    if (first >= 0xf0 && first <= 0xf4) {
        return {static_cast<std::uint8_t>(first == 0xf0 ? 0x90 : 0x80), static_cast<std::uint8_t>(first == 0xf4 ? 0x8f : 0xbf), 3};
    }
    // No second byte is in this range, so that the sequence is invalid.
    return {1, 0, 1};
}

bool isSequence(std::string_view text, const SequenceRule &rule)
{
    if (text.size() <= rule.following) {
        return false;
    }
    for (std::size_t i = 1; i <= rule.following; ++i) {
        const auto byte = static_cast<std::uint8_t>(text[i]);
        const bool isValid = i == 1 ? byte >= rule.secondLeast && byte <= rule.secondMost : byte >= 0x80 && byte <= 0xbf;
        if (!isValid) {
            return false;
        }
    }
    return true;
}
} // namespace

std::size_t validUtf8Length(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const SequenceRule rule = ruleFor(static_cast<std::uint8_t>(text[position]));
        if (!isSequence(text.substr(position), rule)) {
            break;
        }
        position += rule.following + 1;
    }
    return position;
}

bool isUtf8(std::string_view text)
{
    return validUtf8Length(text) == text.size();
}

std::string replaceInvalidUtf8(std::string_view text, char replacement)
{
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        const std::size_t valid = validUtf8Length(text);
        result += text.substr(0, valid);
        if (valid == text.size()) {
            break;
        }
        result += replacement;
        text.remove_prefix(valid + 1);
    }
    return result;
}

} // namespace Godwitfork
