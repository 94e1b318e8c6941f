#pragma once

#include "LibCore/Finding.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Where a node stands in its file. Lines and columns count from 1.
struct DocumentPlace {
    std::string file;
    int line = 0;
    int column = 0;

    auto operator<=>(const DocumentPlace &) const = default;
};

/// `Removal` is the tag `!remove` of an overlay: the base's entry of this key does not exist at the site.
enum class DocumentKind { Null, Text, List, Map, Removal };

struct DocumentEntry;

/// Node of a parsed YAML file that keeps the place of every key and value through the merge of overlays.
struct DocumentNode {
    DocumentPlace place;
    DocumentKind kind = DocumentKind::Null;
    /// Text of a scalar; numbers are read from it with their units later.
    std::string text;
    /// Entries of a map in the order of the file, or of a list with empty keys.
    std::vector<DocumentEntry> entries;

    /// Value of a key of a map; null if there is none.
    const DocumentNode *find(std::string_view key) const;
};

struct DocumentEntry {
    std::string key;
    DocumentPlace place;
    DocumentNode value;
};

/// Content without places: true if two nodes mean the same.
bool haveSameContent(const DocumentNode &left, const DocumentNode &right);

/// Joins a path and a key with a dot.
std::string joinPath(std::string_view path, std::string_view key);

/// Parses one YAML document. Duplicate keys, anchors, aliases, unknown tags and keys that are not plain text become
/// findings, and the tree holds the rest. After a syntax error there is no tree, because what is missing from the part
/// read so far would look like further mistakes.
std::optional<DocumentNode> parseDocument(const std::string &file, const std::string &text, Findings &findings);

} // namespace Godwitfork
