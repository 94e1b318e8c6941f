#include "LibConfiguration/Configuration.h"

#include <algorithm>

namespace Godwitfork
{

const ModelVersion *findVersion(const Model &model, std::string_view version)
{
    const auto found = std::find_if(model.versions.begin(), model.versions.end(), [&](const ModelVersion &candidate) { return candidate.name == version; });
    return found == model.versions.end() ? nullptr : &*found;
}

const ModelVersion *stableVersion(const Model &model)
{
    const auto found =
        std::find_if(model.versions.rbegin(), model.versions.rend(), [](const ModelVersion &version) { return version.state == VersionState::Stable; });
    return found == model.versions.rend() ? nullptr : &*found;
}

bool isModelAllowed(const ClientAccount &account, std::string_view model)
{
    return std::any_of(account.models.begin(), account.models.end(), [&](const AllowedModel &allowed) { return allowed.model == model; });
}

bool isVersionAllowed(const ClientAccount &account, std::string_view model, std::string_view version)
{
    return std::any_of(account.models.begin(), account.models.end(), [&](const AllowedModel &allowed) {
        const bool versionFits = allowed.versions.empty() || std::find(allowed.versions.begin(), allowed.versions.end(), version) != allowed.versions.end();
        return allowed.model == model && versionFits;
    });
}

} // namespace Godwitfork
