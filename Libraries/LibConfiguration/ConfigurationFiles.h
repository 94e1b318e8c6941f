#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Finding.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// One configuration file as operators write it: the name that findings report, and the text.
struct ConfigurationFile {
    std::string name;
    std::string text;

    auto operator<=>(const ConfigurationFile &) const = default;
};

/// Base file that all sites share, and one overlay for each site.
struct ConfigurationFiles {
    ConfigurationFile base;
    std::vector<ConfigurationFile> overlays;

    auto operator<=>(const ConfigurationFiles &) const = default;
};

/// Parses and validates all files. Returns the configuration of all sites, or every finding in all files, sorted by
/// location and without duplicates.
Outcome<Configuration, Findings> checkConfiguration(const ConfigurationFiles &files);

/// Writes one site as a complete base file, with every default written out.
std::string renderSite(const std::string &siteName, const SiteConfiguration &site);

} // namespace Godwitfork
