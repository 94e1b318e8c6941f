#include "LibConfiguration/ConfigurationFiles.h"

#include "LibConfiguration/MapReader.h"
#include "LibConfiguration/Overlay.h"
#include "LibConfiguration/SiteReader.h"

#include <algorithm>
#include <set>

namespace Godwitfork
{

namespace
{
struct Overlay {
    DocumentNode node;
    std::string site;
};

/// Overlays that could be parsed. `isComplete` is false if another one could not: it may belong to a site that has no
/// overlay in the list, so missing overlays are then not reported.
struct Overlays {
    std::vector<Overlay> list;
    bool isComplete = true;
};

std::vector<DocumentNode> readSiteNames(const DocumentNode &base, Findings &findings)
{
    MapReader reader(base, "", findings);
    const DocumentNode *list = reader.requiredChild("sites");
    std::vector<DocumentNode> names = reader.texts("sites");
    if (list != nullptr && list->kind == DocumentKind::List && list->entries.empty()) {
        reader.report(*list, "sites", "the list of sites is empty");
    }
    for (const DocumentNode &name : names) {
        if (!isName(name.text)) {
            reader.report(name, "sites", "'" + name.text + "' is not a valid name");
        }
    }
    if (base.find("site") != nullptr) {
        reader.report(*base.find("site"), "site", "'site' belongs in an overlay");
    }
    return names;
}

Overlay readOverlay(DocumentNode node, const std::vector<DocumentNode> &sites, Findings &findings)
{
    Overlay overlay {std::move(node), {}};
    MapReader reader(overlay.node, "", findings);
    overlay.site = reader.requiredText("site");
    const DocumentNode *name = reader.child("site");
    const auto isSame = [&](const DocumentNode &site) { return site.text == overlay.site; };
    if (name != nullptr && name->kind == DocumentKind::Text && std::none_of(sites.begin(), sites.end(), isSame)) {
        reader.report(*name, "site", "unknown site '" + overlay.site + "'");
    }
    if (overlay.node.find("sites") != nullptr) {
        reader.report(*overlay.node.find("sites"), "sites", "'sites' belongs in the base file");
    }
    return overlay;
}

Overlays readOverlays(const ConfigurationFiles &files, const std::vector<DocumentNode> &sites, Findings &findings)
{
    Overlays overlays;
    for (const ConfigurationFile &file : files.overlays) {
        std::optional<DocumentNode> node = parseDocument(file.name, file.text, findings);
        if (!node) {
            overlays.isComplete = false;
            continue;
        }
        Overlay overlay = readOverlay(std::move(*node), sites, findings);
        const auto isSame = [&](const Overlay &other) { return !overlay.site.empty() && other.site == overlay.site; };
        if (std::any_of(overlays.list.begin(), overlays.list.end(), isSame)) {
            const DocumentLocation location = overlay.node.find("site")->location;
            findings.add({location.file, location.line, location.column, "site", "site '" + overlay.site + "' already has an overlay"});
        }
        overlays.list.push_back(std::move(overlay));
    }
    return overlays;
}

/// Reports each site without an overlay at the location of the site's name in the base file.
void reportMissingOverlays(const std::vector<DocumentNode> &sites, const Overlays &overlays, Findings &findings)
{
    if (!overlays.isComplete) {
        return;
    }
    for (const DocumentNode &site : sites) {
        const auto isSame = [&](const Overlay &overlay) { return overlay.site == site.text; };
        if (std::none_of(overlays.list.begin(), overlays.list.end(), isSame)) {
            findings.add({site.location.file, site.location.line, site.location.column, "sites", "site '" + site.text + "' has no overlay"});
        }
    }
}

/// Sorts the findings and removes duplicates: a mistake in the base file is found once for each site.
Findings sortedWithoutDuplicates(const Findings &findings)
{
    const std::set<Finding> sorted(findings.entries().begin(), findings.entries().end());
    Findings result;
    for (const Finding &finding : sorted) {
        result.add(finding);
    }
    return result;
}
} // namespace

Outcome<Configuration, Findings> checkConfiguration(const ConfigurationFiles &files)
{
    Findings findings;
    const std::optional<DocumentNode> base = parseDocument(files.base.name, files.base.text, findings);
    if (!base) {
        for (const ConfigurationFile &file : files.overlays) {
            parseDocument(file.name, file.text, findings);
        }
        return sortedWithoutDuplicates(findings);
    }
    const std::vector<DocumentNode> sites = readSiteNames(*base, findings);
    const Overlays overlays = readOverlays(files, sites, findings);
    reportMissingOverlays(sites, overlays, findings);
    Configuration configuration;
    for (const Overlay &overlay : overlays.list) {
        const DocumentNode merged = mergeOverlay(*base, overlay.node, findings);
        configuration.sites.emplace(overlay.site, readSite(merged, findings));
    }
    if (overlays.list.empty()) {
        readSite(*base, findings);
    }
    if (!findings.isEmpty()) {
        return sortedWithoutDuplicates(findings);
    }
    return configuration;
}

} // namespace Godwitfork
