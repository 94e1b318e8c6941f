#pragma once

#include "LibConfiguration/Document.h"
#include "LibConfiguration/Units.h"

#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Whether a text is a valid name of a model, version, account, endpoint, service, site or failure domain: 1 to 64
/// letters, digits, '.', '_' and '-', beginning with a letter or digit. Colons separate model and version.
bool isName(std::string_view text);

/// Value of an enumeration and its name in the files.
template<typename T>
struct NamedValue {
    std::string_view name;
    T value;
};

/// Reads the keys of one map in the operators' files and reports every mistake with its location. A key that is missing or
/// has an invalid value reads as the default.
class MapReader
{
public:
    MapReader(const DocumentNode &node, std::string path, Findings &findings);

    /// Value of an optional key; null if it is missing.
    const DocumentNode *child(std::string_view key);
    /// Value of a required key; reports the key and returns null if it is missing.
    const DocumentNode *requiredChild(std::string_view key);
    /// Entries of an optional map; reports and omits entries whose key is not a valid name.
    std::vector<DocumentEntry> namedEntries(std::string_view key);
    std::string text(std::string_view key);
    std::string requiredText(std::string_view key);
    /// Text nodes of an optional list, in the order of the file; reports and omits duplicates.
    std::vector<DocumentNode> texts(std::string_view key);
    int integer(std::string_view key, int fallback, int minimum, int maximum);
    /// Number from 0 to 1 with at most 6 decimals.
    double fraction(std::string_view key);
    Microunits amount(std::string_view key, AmountDenominator denominator);
    /// Rate per second.
    double rate(std::string_view key);
    /// List of SHA-256 digests in lower-case hexadecimal.
    std::vector<std::string> digests(std::string_view key);

    template<typename T>
    T choice(std::string_view key, T fallback, std::initializer_list<NamedValue<T>> values)
    {
        const DocumentNode *node = this->textChild(key);
        if (node == nullptr) {
            return fallback;
        }
        std::string names;
        for (const NamedValue<T> &value : values) {
            if (value.name == node->text) {
                return value.value;
            }
            names += (names.empty() ? "" : ", ") + std::string(value.name);
        }
        this->report(*node, key, "unknown value '" + node->text + "', expected one of: " + names);
        return fallback;
    }

    void report(const DocumentNode &node, std::string_view key, std::string message);
    std::string pathOf(std::string_view key) const;
    /// Reports every key of the map that none of the functions above has read.
    void finish();

private:
    const DocumentNode *textChild(std::string_view key);

    const DocumentNode &node;
    std::string path;
    Findings &findings;
    std::set<std::string, std::less<>> requestedKeys;
};

} // namespace Godwitfork
