#include "ObjectTable.h"

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxPageObjects = 1000;
constexpr std::size_t maxPageBytes = 4 * 1024 * 1024;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}
} // namespace

const TableEntry *ObjectTable::find(const std::string &name) const
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || found->second.removed) {
        return nullptr;
    }
    return &found->second;
}

std::uint64_t ObjectTable::currentVersion(const std::string &name) const
{
    const TableEntry *entry = this->find(name);
    return entry == nullptr ? 0 : entry->version;
}

bool ObjectTable::conditionHolds(const std::string &name, const TableCondition &condition) const
{
    if (condition.createOnly) {
        return this->find(name) == nullptr;
    }
    return !condition.version || this->currentVersion(name) == *condition.version;
}

std::uint64_t ObjectTable::put(const std::string &name, nlohmann::json value)
{
    this->entries[name] = {++this->lastVersion, false, std::move(value)};
    return this->lastVersion;
}

std::uint64_t ObjectTable::remove(const std::string &name)
{
    this->entries[name] = {++this->lastVersion, true, nullptr};
    return this->lastVersion;
}

nlohmann::json ObjectTable::listPage(const std::string &prefix, const std::string &after) const
{
    nlohmann::json objects = nlohmann::json::array();
    std::size_t bytes = 0;
    std::string next;
    for (auto entry = after.empty() ? this->entries.lower_bound(prefix) : this->entries.upper_bound(after);
         entry != this->entries.end() && startsWith(entry->first, prefix);
         ++entry) {
        if (entry->second.removed) {
            continue;
        }
        if (objects.size() >= maxPageObjects || bytes >= maxPageBytes) {
            next = objects.back()["name"].get<std::string>();
            break;
        }
        bytes += entry->second.value.dump().size();
        objects.push_back({{"name", entry->first}, {"version", entry->second.version}, {"value", entry->second.value}});
    }
    return {{"objects", std::move(objects)}, {"next", next}};
}

nlohmann::json ObjectTable::changesAfter(const std::string &prefix, std::uint64_t version) const
{
    nlohmann::json events = nlohmann::json::array();
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && startsWith(entry->first, prefix); ++entry) {
        if (entry->second.version <= version) {
            continue;
        }
        nlohmann::json event {{"name", entry->first}, {"version", entry->second.version}};
        if (!entry->second.removed) {
            event["value"] = entry->second.value;
        }
        events.push_back(std::move(event));
    }
    return events;
}

} // namespace Godwitfork
