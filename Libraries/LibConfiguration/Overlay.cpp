#include "LibConfiguration/Overlay.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
void report(const DocumentLocation &location, const std::string &path, std::string message, Findings &findings)
{
    findings.add({location.file, location.line, location.column, path, std::move(message)});
}

/// Reports every removal inside a value that the overlay adds or replaces as a whole.
void reportRemovals(const DocumentNode &node, const std::string &path, Findings &findings)
{
    for (const DocumentEntry &entry : node.entries) {
        const std::string entryPath = joinPath(path, entry.key);
        if (entry.value.kind == DocumentKind::Removal) {
            report(entry.value.location, entryPath, "'!remove' names an entry that the base does not have", findings);
        }
        reportRemovals(entry.value, entryPath, findings);
    }
}

void merge(DocumentNode &target, const DocumentNode &overlay, const std::string &path, Findings &findings);

void mergeEntry(DocumentNode &target, const DocumentEntry &entry, const std::string &path, Findings &findings)
{
    const auto existing = std::find_if(target.entries.begin(), target.entries.end(), [&](const DocumentEntry &own) { return own.key == entry.key; });
    if (existing == target.entries.end()) {
        if (entry.value.kind == DocumentKind::Removal) {
            report(entry.value.location, path, "'!remove' names an entry that the base does not have", findings);
            return;
        }
        reportRemovals(entry.value, path, findings);
        target.entries.push_back(entry);
        return;
    }
    if (entry.value.kind == DocumentKind::Removal) {
        target.entries.erase(existing);
        return;
    }
    if (existing->value.kind == DocumentKind::Map && entry.value.kind == DocumentKind::Map) {
        if (entry.value.entries.empty()) {
            report(entry.value.location, path, "an empty map changes nothing", findings);
        }
        merge(existing->value, entry.value, path, findings);
        return;
    }
    reportRemovals(entry.value, path, findings);
    if (haveSameContent(existing->value, entry.value)) {
        report(entry.value.location, path, "repeats the base's value", findings);
    }
    *existing = entry;
}

void merge(DocumentNode &target, const DocumentNode &overlay, const std::string &path, Findings &findings)
{
    for (const DocumentEntry &entry : overlay.entries) {
        mergeEntry(target, entry, joinPath(path, entry.key), findings);
    }
}
} // namespace

DocumentNode mergeOverlay(const DocumentNode &base, const DocumentNode &overlay, Findings &findings)
{
    DocumentNode merged = base;
    merge(merged, overlay, "", findings);
    return merged;
}

} // namespace Godwitfork
