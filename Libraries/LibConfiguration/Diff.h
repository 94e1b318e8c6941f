#pragma once

#include "LibConfiguration/Configuration.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// One difference between two configurations. The path has the names of the operators' files and begins with the site.
/// The old value is empty for an addition, the new one for a removal.
struct ConfigurationDifference {
    std::string path;
    std::string oldValue;
    std::string newValue;

    auto operator<=>(const ConfigurationDifference &) const = default;
};

/// All differences in the order of their paths. Something added or removed as a whole is listed value by value.
std::vector<ConfigurationDifference> diff(const Configuration &before, const Configuration &after);

/// One line for each change: `path: old -> new`, `path: added new` or `path: removed old`.
std::string toText(const std::vector<ConfigurationDifference> &changes);

} // namespace Godwitfork
