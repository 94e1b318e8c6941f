#pragma once

#include "LibConfiguration/Configuration.h"
#include "LibCore/Finding.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// One file of the operators' format: its name for findings, and its text.
struct ConfigurationFile {
    std::string name;
    std::string text;

    auto operator<=>(const ConfigurationFile &) const = default;
};

/// The base file that all sites share, and one overlay for each site.
struct ConfigurationFiles {
    ConfigurationFile base;
    std::vector<ConfigurationFile> overlays;

    auto operator<=>(const ConfigurationFiles &) const = default;
};

/// The configuration of all sites, or every finding in all files, sorted by place and each reported once.
Outcome<Configuration, Findings> checkConfiguration(const ConfigurationFiles &files);

/// One site in the operators' format, with every default stated. It is a complete base file for that site.
std::string renderSite(const std::string &siteName, const SiteConfiguration &site);

} // namespace Godwitfork
