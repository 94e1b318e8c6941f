#include "FileCommands.h"

#include "LibSettings/SettingsReader.h"

#include <boost/filesystem.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace Godwitfork
{

namespace
{
int reportMissingSite(const std::string &site)
{
    std::cerr << "the configuration has no site: " << site << "\n";
    return exitRefused;
}
} // namespace

Outcome<Configuration, Findings> checkFolder(const std::string &folder)
{
    ConfigurationFiles files;
    const std::string base = folder + "/base.yaml";
    files.base = {base, readFile(base)};
    std::vector<std::string> names;
    for (const auto &entry : boost::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".yaml" && entry.path().filename() != "base.yaml") {
            names.push_back(entry.path().filename().string());
        }
    }
    // The order of directory entries differs between machines; sorting makes the order of findings deterministic.
    std::sort(names.begin(), names.end());
    for (const std::string &name : names) {
        const std::string path = (boost::filesystem::path(folder) / name).string();
        files.overlays.push_back({path, readFile(path)});
    }
    return checkConfiguration(files);
}

int reportFindings(const Findings &findings, OutputFormat format)
{
    if (format == OutputFormat::Text) {
        std::cerr << findings.toText();
        return exitRefused;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings.entries()) {
        list.push_back({{"file", finding.file}, {"line", finding.line}, {"column", finding.column}, {"path", finding.path}, {"message", finding.message}});
    }
    std::cout << nlohmann::json {{"findings", list}}.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    return exitRefused;
}

nlohmann::json changesToJson(const std::vector<ConfigurationDifference> &changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ConfigurationDifference &change : changes) {
        list.push_back({{"path", change.path}, {"old", change.oldValue}, {"new", change.newValue}});
    }
    return list;
}

int runCheck(const Options &options)
{
    const auto result = checkFolder(options.arguments.at(0));
    if (!result) {
        return reportFindings(result.error(), options.output);
    }
    if (options.output == OutputFormat::Json) {
        std::cout << nlohmann::json {{"findings", nlohmann::json::array()}}.dump(2) << "\n";
        return exitOk;
    }
    for (const auto &[name, site] : result.value().sites) {
        std::cout << name << ": " << site.accounts.size() << " accounts, " << site.models.size() << " models, " << site.services.size() << " services, "
                  << site.endpoints.size() << " endpoints\n";
    }
    return exitOk;
}

int runDiff(const Options &options)
{
    const auto before = checkFolder(options.arguments.at(0));
    const auto after = checkFolder(options.arguments.at(1));
    if (!before || !after) {
        Findings findings;
        findings.append(before ? Findings() : before.error());
        findings.append(after ? Findings() : after.error());
        return reportFindings(findings, options.output);
    }
    const std::vector<ConfigurationDifference> changes = diff(before.value(), after.value());
    if (options.output == OutputFormat::Json) {
        std::cout << nlohmann::json {{"changes", changesToJson(changes)}}.dump(2) << "\n";
    } else {
        std::cout << toText(changes);
    }
    return exitOk;
}

int runRender(const Options &options)
{
    const auto result = checkFolder(options.arguments.at(0));
    if (!result) {
        return reportFindings(result.error(), options.output);
    }
    const std::string &siteName = options.arguments.at(1);
    const auto site = result.value().sites.find(siteName);
    if (site == result.value().sites.end()) {
        return reportMissingSite(siteName);
    }
    if (options.output == OutputFormat::Json) {
        Configuration single;
        single.sites.insert(*site);
        std::cout << nlohmann::json::parse(toJson(single)).at("sites").at(siteName).dump(2) << "\n";
    } else {
        std::cout << renderSite(siteName, site->second);
    }
    return exitOk;
}

} // namespace Godwitfork
