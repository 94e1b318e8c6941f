#include "LibConfiguration/ModelReader.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
ModelVersion readVersion(const DocumentEntry &entry, const std::string &path, Findings &findings)
{
    MapReader reader(entry.value, path, findings);
    ModelVersion version;
    version.name = entry.key;
    // The state has no default: a version that is stable by omission would receive all traffic at once. An invalid value
    // reads as stable, so that the model is not also reported as having no stable version.
    reader.requiredChild("state");
    version.state = reader.choice<VersionState>(
        "state", VersionState::Stable, {{"candidate", VersionState::Candidate}, {"stable", VersionState::Stable}, {"withdrawn", VersionState::Withdrawn}});
    reader.requiredChild("prompt_price");
    version.promptPrice = reader.amount("prompt_price", AmountDenominator::ThousandTokens);
    reader.requiredChild("completion_price");
    version.completionPrice = reader.amount("completion_price", AmountDenominator::ThousandTokens);
    reader.finish();
    return version;
}

void readVersions(MapReader &reader, Model &model, Findings &findings)
{
    const DocumentNode *versions = reader.child("versions");
    for (const DocumentEntry &entry : reader.namedEntries("versions")) {
        model.versions.push_back(readVersion(entry, joinPath(reader.pathOf("versions"), entry.key), findings));
    }
    if (versions == nullptr || versions->kind != DocumentKind::Map) {
        return;
    }
    const auto isWithdrawn = [](const ModelVersion &version) { return version.state == VersionState::Withdrawn; };
    if (model.versions.empty()) {
        reader.report(*versions, "versions", "the model has no version");
    } else if (std::all_of(model.versions.begin(), model.versions.end(), isWithdrawn)) {
        reader.report(*versions, "versions", "every version of the model is withdrawn");
    } else if (stableVersion(model) == nullptr) {
        reader.report(*versions, "versions", "the model has no stable version");
    }
}

Model readModel(const DocumentEntry &entry, const std::string &path, const VersionNames &names, Findings &findings)
{
    MapReader reader(entry.value, path, findings);
    Model model;
    model.name = entry.key;
    const DocumentNode *cascade = reader.child("cascade");
    const DocumentNode *versions = reader.child("versions");
    if (entry.value.kind == DocumentKind::Map && (cascade == nullptr) == (versions == nullptr)) {
        reader.report(entry.value, "", "a model has either 'versions' or 'cascade'");
    }
    readVersions(reader, model, findings);
    const std::vector<DocumentNode> steps = reader.texts("cascade");
    if (cascade != nullptr && cascade->kind == DocumentKind::List && steps.empty()) {
        reader.report(*cascade, "cascade", "the cascade has no model");
    }
    for (const DocumentNode &step : steps) {
        const auto found = names.find(step.text);
        if (found == names.end()) {
            reader.report(step, "cascade", "unknown model '" + step.text + "'");
        } else if (found->second.empty()) {
            reader.report(step, "cascade", "'" + step.text + "' is itself a cascade or has no version");
        }
        model.cascade.push_back(step.text);
    }
    reader.finish();
    return model;
}

VersionNames collectNames(const std::vector<DocumentEntry> &models)
{
    VersionNames names;
    for (const DocumentEntry &model : models) {
        auto &versions = names[model.key];
        const DocumentNode *list = model.value.find("versions");
        if (list == nullptr || list->kind != DocumentKind::Map) {
            continue;
        }
        for (const DocumentEntry &version : list->entries) {
            versions.insert(version.key);
        }
    }
    return names;
}
} // namespace

std::map<std::string, Model> readModels(MapReader &site, VersionNames &names, Findings &findings)
{
    const std::vector<DocumentEntry> entries = site.namedEntries("models");
    names = collectNames(entries);
    std::map<std::string, Model> models;
    for (const DocumentEntry &entry : entries) {
        models.emplace(entry.key, readModel(entry, joinPath("models", entry.key), names, findings));
    }
    return models;
}

} // namespace Godwitfork
