#pragma once

#include "LibCore/Finding.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Position of a node in its file. Lines and columns count from 1.
struct DocumentLocation {
    std::string file;
    int line = 0;
    int column = 0;

    auto operator<=>(const DocumentLocation &) const = default;
};

/// Kind of a node's value. `Removal` is the tag `!remove` of an overlay, which removes the base's entry of the same key.
enum class DocumentKind { Null, Text, List, Map, Removal };

struct DocumentEntry;

/// Node of a parsed YAML file. Every key and value keeps its location when overlays are merged.
struct DocumentNode {
    DocumentLocation location;
    DocumentKind kind = DocumentKind::Null;
    /// Text of a scalar, not yet parsed as a number or an amount.
    std::string text;
    /// Entries of a map or a list in the order of the file. List entries have empty keys.
    std::vector<DocumentEntry> entries;

    /// Value of a key of a map; null if there is none.
    const DocumentNode *find(std::string_view key) const;
};

struct DocumentEntry {
    std::string key;
    DocumentLocation location;
    DocumentNode value;
};

/// Compares two nodes without their locations and without the order of map entries.
bool haveSameContent(const DocumentNode &left, const DocumentNode &right);

/// Joins a path and a key with a dot; an empty path gives the key alone.
std::string joinPath(std::string_view path, std::string_view key);

/// Parses one YAML document. Duplicate keys, anchors, aliases, unknown tags and keys that are not plain text are reported
/// as findings, and the tree contains the rest. Returns no tree after a syntax error, because validating the part before the
/// error would report everything after it as missing.
std::optional<DocumentNode> parseDocument(const std::string &file, const std::string &text, Findings &findings);

} // namespace Godwitfork
