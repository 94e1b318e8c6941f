#include "LibConfiguration/Diff.h"

#include "LibConfiguration/Document.h"
#include "LibConfiguration/Units.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace Godwitfork
{

namespace
{
using ValuesByPath = std::map<std::string, std::string>;

/// Key of a JSON member in the operators' files: the member in snake case, except for two keys that have another name.
std::string fileKey(const std::string &member)
{
    if (member == "requestsPerSecond") {
        return "rate_limit";
    }
    if (member == "idempotency") {
        return "idempotent";
    }
    std::string name;
    for (const char character : member) {
        if (character >= 'A' && character <= 'Z') {
            name += '_';
            name += static_cast<char>(character - 'A' + 'a');
        } else {
            name += character;
        }
    }
    return name;
}

std::string formatMember(const std::string &member, const nlohmann::json &value)
{
    if (member == "promptPrice" || member == "completionPrice") {
        return formatAmount(value.get<Microunits>(), AmountDenominator::ThousandTokens);
    }
    if (member == "price") {
        return formatAmount(value.get<Microunits>(), AmountDenominator::Call);
    }
    if (member == "monthlyBudget") {
        return formatAmount(value.get<Microunits>(), AmountDenominator::Month);
    }
    if (member == "requestsPerSecond") {
        return value.get<double>() > 0 ? formatRate(value.get<double>()) : "unlimited";
    }
    if (member == "qualityTarget") {
        return formatNumber(value.get<double>());
    }
    if (member == "idempotency") {
        return value == "idempotent" ? "true" : "false";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string joinedTexts(const nlohmann::json &list)
{
    std::string joined;
    for (const nlohmann::json &entry : list) {
        joined += (joined.empty() ? "" : ", ") + entry.get<std::string>();
    }
    return "[" + joined + "]";
}

void flattenMembers(const nlohmann::json &object, const std::string &path, ValuesByPath &values);

/// Adds a list's values. Models and versions are keyed by name rather than index, so that an insertion does not change
/// the paths after it. The order of the versions is a value of its own, because it determines the newest stable version.
void flattenList(const std::string &member, const nlohmann::json &list, const std::string &path, ValuesByPath &values)
{
    if (member == "models") {
        for (const nlohmann::json &allowed : list) {
            const bool isAll = allowed.at("versions").empty();
            values[joinPath(path, allowed.at("model").get<std::string>())] = isAll ? "all" : joinedTexts(allowed.at("versions"));
        }
        return;
    }
    if (member == "versions") {
        std::vector<std::string> order;
        for (const nlohmann::json &version : list) {
            order.push_back(version.at("name").get<std::string>());
            flattenMembers(version, joinPath(path, order.back()), values);
        }
        if (order.size() > 1) {
            values[path + " (order)"] = joinedTexts(order);
        }
        return;
    }
    if (!list.empty()) {
        values[path] = joinedTexts(list);
    }
}

void flattenMembers(const nlohmann::json &object, const std::string &path, ValuesByPath &values)
{
    for (const auto &[member, value] : object.items()) {
        if (member == "name") {
            continue;
        }
        const std::string memberPath = joinPath(path, fileKey(member));
        if (value.is_array()) {
            flattenList(member, value, memberPath, values);
        } else {
            values[memberPath] = formatMember(member, value);
        }
    }
}

ValuesByPath flatten(const Configuration &configuration)
{
    ValuesByPath values;
    const nlohmann::json root = nlohmann::json::parse(toJson(configuration));
    for (const auto &[siteName, site] : root.at("sites").items()) {
        for (const auto &[section, entries] : site.items()) {
            const std::string path = joinPath(siteName, fileKey(section));
            if (entries.is_array()) {
                flattenList(section, entries, path, values);
                continue;
            }
            for (const auto &[name, entry] : entries.items()) {
                flattenMembers(entry, joinPath(path, name), values);
            }
        }
    }
    return values;
}

std::string valueOrEmpty(const ValuesByPath &values, const std::string &path)
{
    const auto found = values.find(path);
    return found == values.end() ? std::string() : found->second;
}
} // namespace

std::vector<ConfigurationDifference> diff(const Configuration &before, const Configuration &after)
{
    const ValuesByPath oldValues = flatten(before);
    const ValuesByPath newValues = flatten(after);
    ValuesByPath all = oldValues;
    all.insert(newValues.begin(), newValues.end());
    std::vector<ConfigurationDifference> changes;
    for (const auto &[path, value] : all) {
        ConfigurationDifference change {path, valueOrEmpty(oldValues, path), valueOrEmpty(newValues, path)};
        if (change.oldValue != change.newValue) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

std::string toText(const std::vector<ConfigurationDifference> &changes)
{
    std::string text;
    for (const ConfigurationDifference &change : changes) {
        text += change.path + ": ";
        if (change.oldValue.empty()) {
            text += "added " + change.newValue;
        } else if (change.newValue.empty()) {
            text += "removed " + change.oldValue;
        } else {
            text += change.oldValue + " -> " + change.newValue;
        }
        text += "\n";
    }
    return text;
}

} // namespace Godwitfork
