#include "LibConfiguration/MapReader.h"

#include <algorithm>
#include <utility>

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t sha256Digits = 64;
constexpr int fractionDecimals = 6;
constexpr double fractionScale = 1'000'000;

std::string_view describe(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Null:
        return "nothing";
    case DocumentKind::Text:
        return "a single value";
    case DocumentKind::List:
        return "a list";
    case DocumentKind::Map:
        return "a map";
    case DocumentKind::Removal:
        return "'!remove', which belongs in an overlay";
    }
    return {};
}

bool isLetterOrDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

bool isSha256(std::string_view text)
{
    const auto isDigit = [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); };
    return text.size() == sha256Digits && std::all_of(text.begin(), text.end(), isDigit);
}
} // namespace

bool isName(std::string_view text)
{
    const auto isNameCharacter = [](char character) { return isLetterOrDigit(character) || character == '.' || character == '_' || character == '-'; };
    return !text.empty() && text.size() <= maxNameLength && isLetterOrDigit(text.front()) && std::all_of(text.begin(), text.end(), isNameCharacter);
}

MapReader::MapReader(const DocumentNode &node, std::string path, Findings &findings) : node(node), path(std::move(path)), findings(findings)
{
    if (node.kind != DocumentKind::Map) {
        this->report(node, "", "expected a map, found " + std::string(describe(node.kind)));
    }
}

const DocumentNode *MapReader::child(std::string_view key)
{
    this->requestedKeys.emplace(key);
    return this->node.kind == DocumentKind::Map ? this->node.find(key) : nullptr;
}

const DocumentNode *MapReader::requiredChild(std::string_view key)
{
    const DocumentNode *found = this->child(key);
    if (found == nullptr && this->node.kind == DocumentKind::Map) {
        this->report(this->node, "", "missing key '" + std::string(key) + "'");
    }
    return found;
}

std::vector<DocumentEntry> MapReader::namedEntries(std::string_view key)
{
    const DocumentNode *map = this->child(key);
    if (map == nullptr) {
        return {};
    }
    if (map->kind != DocumentKind::Map) {
        this->report(*map, key, "expected a map, found " + std::string(describe(map->kind)));
        return {};
    }
    std::vector<DocumentEntry> entries;
    for (const DocumentEntry &entry : map->entries) {
        if (isName(entry.key)) {
            entries.push_back(entry);
            continue;
        }
        this->findings.add({entry.location.file, entry.location.line, entry.location.column, this->pathOf(key), "'" + entry.key + "' is not a valid name"});
    }
    return entries;
}

const DocumentNode *MapReader::textChild(std::string_view key)
{
    const DocumentNode *found = this->child(key);
    if (found == nullptr || found->kind == DocumentKind::Text) {
        return found;
    }
    this->report(*found, key, "expected a single value, found " + std::string(describe(found->kind)));
    return nullptr;
}

std::string MapReader::text(std::string_view key)
{
    const DocumentNode *found = this->textChild(key);
    return found == nullptr ? std::string() : found->text;
}

std::string MapReader::requiredText(std::string_view key)
{
    this->requiredChild(key);
    return this->text(key);
}

std::vector<DocumentNode> MapReader::texts(std::string_view key)
{
    const DocumentNode *list = this->child(key);
    if (list == nullptr) {
        return {};
    }
    if (list->kind != DocumentKind::List) {
        this->report(*list, key, "expected a list, found " + std::string(describe(list->kind)));
        return {};
    }
    std::vector<DocumentNode> texts;
    for (const DocumentEntry &entry : list->entries) {
        if (entry.value.kind != DocumentKind::Text) {
            this->report(entry.value, key, "expected a single value, found " + std::string(describe(entry.value.kind)));
            continue;
        }
        const auto isSame = [&](const DocumentNode &other) { return other.text == entry.value.text; };
        if (std::any_of(texts.begin(), texts.end(), isSame)) {
            // The message omits the text, because a list of digests may contain a key that was entered by mistake.
            this->report(entry.value, key, "repeats an earlier value of the list");
            continue;
        }
        texts.push_back(entry.value);
    }
    return texts;
}

int MapReader::integer(std::string_view key, int fallback, int minimum, int maximum)
{
    const DocumentNode *found = this->textChild(key);
    if (found == nullptr) {
        return fallback;
    }
    const std::string range = std::to_string(minimum) + " to " + std::to_string(maximum);
    const auto number = parseDecimal(found->text, 0);
    if (!number) {
        this->report(*found, key, "'" + found->text + "' is not a whole number from " + range);
        return fallback;
    }
    if (*number < minimum || *number > maximum) {
        this->report(*found, key, found->text + " is outside the allowed range " + range);
        return fallback;
    }
    return static_cast<int>(*number);
}

double MapReader::fraction(std::string_view key)
{
    const DocumentNode *found = this->textChild(key);
    if (found == nullptr) {
        return 0;
    }
    const auto number = parseDecimal(found->text, fractionDecimals);
    if (!number) {
        this->report(*found, key, "'" + found->text + "' is not a number with at most 6 decimals");
        return 0;
    }
    const double value = static_cast<double>(*number) / fractionScale;
    if (value > 1) {
        this->report(*found, key, found->text + " is outside the allowed range 0 to 1");
        return 0;
    }
    return value;
}

Microunits MapReader::amount(std::string_view key, AmountDenominator denominator)
{
    const DocumentNode *found = this->textChild(key);
    if (found == nullptr) {
        return 0;
    }
    const auto parsed = parseAmount(found->text, denominator);
    if (!parsed) {
        this->report(
            *found, key, "'" + found->text + "' is not an amount of at most 10^9 units, write for example '" + formatAmount(12'000'000, denominator) + "'");
        return 0;
    }
    return *parsed;
}

double MapReader::rate(std::string_view key)
{
    const DocumentNode *found = this->textChild(key);
    if (found == nullptr) {
        return 0;
    }
    const auto parsed = parseRate(found->text);
    if (!parsed) {
        this->report(*found, key, "'" + found->text + "' is not a rate, write for example '50/s' or '90/min'");
        return 0;
    }
    return *parsed;
}

std::vector<std::string> MapReader::digests(std::string_view key)
{
    std::vector<std::string> digests;
    for (const DocumentNode &entry : this->texts(key)) {
        if (isSha256(entry.text)) {
            digests.push_back(entry.text);
            continue;
        }
        // The message omits the text, because it may be a key that was entered by mistake.
        this->report(entry, key, "not a SHA-256 digest in 64 lower-case hexadecimal digits");
    }
    return digests;
}

void MapReader::report(const DocumentNode &source, std::string_view key, std::string message)
{
    this->findings.add({source.location.file, source.location.line, source.location.column, this->pathOf(key), std::move(message)});
}

std::string MapReader::pathOf(std::string_view key) const
{
    return key.empty() ? this->path : joinPath(this->path, key);
}

void MapReader::finish()
{
    if (this->node.kind != DocumentKind::Map) {
        return;
    }
    for (const DocumentEntry &entry : this->node.entries) {
        if (!this->requestedKeys.contains(entry.key)) {
            this->findings.add({entry.location.file, entry.location.line, entry.location.column, this->path, "unknown key '" + entry.key + "'"});
        }
    }
}

} // namespace Godwitfork
