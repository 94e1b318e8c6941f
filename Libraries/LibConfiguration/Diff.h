#pragma once

#include "LibConfiguration/Configuration.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// One difference between two configurations. The path begins with the site and consists of the keys of the operators'
/// files. The old value is empty for an addition, the new value for a removal.
struct ConfigurationDifference {
    std::string path;
    std::string oldValue;
    std::string newValue;

    auto operator<=>(const ConfigurationDifference &) const = default;
};

/// Lists all differences, sorted by path. An entry that was added or removed is listed value by value.
std::vector<ConfigurationDifference> diff(const Configuration &before, const Configuration &after);

/// Formats one line for each difference: `path: old -> new`, `path: added new` or `path: removed old`.
std::string toText(const std::vector<ConfigurationDifference> &changes);

} // namespace Godwitfork
