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

/// Names of models, versions, accounts, endpoints, services, sites and failure domains: 1 to 64 letters, digits, '.',
/// '_' and '-', beginning with a letter or digit. A colon separates model and version, so it is not part of a name.
bool isName(std::string_view text);

/// Values of an enumeration as the files write them.
template<typename T>
struct NamedValue {
    std::string_view name;
    T value;
};

/// Reads the known keys of one map of the operators' files and reports every mistake with its place. A key that is
/// missing, or whose value is refused, reads as the default.
class MapReader
{
public:
    MapReader(const DocumentNode &node, std::string path, Findings &findings);

    /// Value of an optional key; null if it is missing.
    const DocumentNode *child(std::string_view key);
    /// As `child`, but reports a missing key.
    const DocumentNode *requiredChild(std::string_view key);
    /// Entries of an optional map of named things; refuses keys that are not names.
    std::vector<DocumentEntry> namedEntries(std::string_view key);
    std::string text(std::string_view key);
    std::string requiredText(std::string_view key);
    /// A list of texts without duplicates, in the order of the file.
    std::vector<DocumentNode> texts(std::string_view key);
    int integer(std::string_view key, int fallback, int minimum, int maximum);
    /// A number from 0 to 1.
    double fraction(std::string_view key);
    Microunits amount(std::string_view key, Per per);
    double rate(std::string_view key);
    /// A list of SHA-256 digests in lower-case hexadecimal.
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
    /// Reports the keys that no read asked for.
    void finish();

private:
    const DocumentNode *textChild(std::string_view key);

    const DocumentNode &node;
    std::string path;
    Findings &findings;
    std::set<std::string, std::less<>> known;
};

} // namespace Godwitfork
