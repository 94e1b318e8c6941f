#include "LibAdministration/Changes.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
ErrorOr<void> changeVersion(Model &model, ModelVersion &version, const VersionStateChange &change)
{
    const bool isReinstated = version.state == VersionState::Withdrawn && change.state != VersionState::Withdrawn;
    if (isReinstated && !change.mayReinstate) {
        return Error {"version_withdrawn", "'" + model.name + ":" + version.name + "' is withdrawn; the request must allow reinstating it"};
    }
    version.state = change.state;
    if (stableVersion(model) == nullptr && !change.mayLeaveNoStableVersion) {
        return Error {"no_stable_version", "the change leaves '" + model.name + "' without a stable version"};
    }
    return boost::outcome_v2::success();
}
} // namespace

ErrorOr<void> changeVersionState(Configuration &configuration, const VersionStateChange &change)
{
    bool isFound = false;
    for (auto &[siteName, site] : configuration.sites) {
        const auto model = site.models.find(change.model);
        if ((!change.site.empty() && change.site != siteName) || model == site.models.end()) {
            continue;
        }
        for (ModelVersion &version : model->second.versions) {
            if (version.name == change.version) {
                isFound = true;
                TRY(changeVersion(model->second, version, change));
            }
        }
    }
    if (!isFound) {
        return Error {"version_not_found", "the configuration has no version '" + change.model + ":" + change.version + "'"};
    }
    return boost::outcome_v2::success();
}

ErrorOr<void> changeEndpointState(Configuration &configuration, const EndpointStateChange &change)
{
    bool isFound = false;
    for (auto &[siteName, site] : configuration.sites) {
        const auto endpoint = site.endpoints.find(change.endpoint);
        if ((change.site.empty() || change.site == siteName) && endpoint != site.endpoints.end()) {
            isFound = true;
            endpoint->second.state = change.state;
        }
    }
    if (!isFound) {
        return Error {"endpoint_not_found", "the configuration has no endpoint '" + change.endpoint + "'"};
    }
    return boost::outcome_v2::success();
}

std::vector<std::string> reinstatedVersions(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> reinstated;
    for (const auto &[siteName, site] : after.sites) {
        const auto oldSite = before.sites.find(siteName);
        for (const auto &[modelName, model] : site.models) {
            if (oldSite == before.sites.end() || !oldSite->second.models.contains(modelName)) {
                continue;
            }
            const Model &oldModel = oldSite->second.models.at(modelName);
            for (const ModelVersion &version : model.versions) {
                const ModelVersion *old = findVersion(oldModel, version.name);
                if (old != nullptr && old->state == VersionState::Withdrawn && version.state != VersionState::Withdrawn) {
                    reinstated.push_back(siteName + "." + modelName + ":" + version.name);
                }
            }
        }
    }
    return reinstated;
}

} // namespace Godwitfork
