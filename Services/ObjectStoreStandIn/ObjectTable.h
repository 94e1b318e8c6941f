#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Object as the stand-in keeps it; a removed object stays as a tombstone, so that watches see the removal.
struct TableEntry {
    std::uint64_t version = 0;
    bool removed = false;
    nlohmann::json value;
};

/// Condition headers of a write, as sent.
struct TableCondition {
    bool createOnly = false;
    std::optional<std::uint64_t> version;
};

/// The stand-in's objects, with one version counter over all of them.
class ObjectTable
{
public:
    const TableEntry *find(const std::string &name) const;
    std::uint64_t currentVersion(const std::string &name) const;
    bool conditionHolds(const std::string &name, const TableCondition &condition) const;
    std::uint64_t put(const std::string &name, nlohmann::json value);
    std::uint64_t remove(const std::string &name);
    /// One page of live objects with the prefix and a name greater than `after`.
    nlohmann::json listPage(const std::string &prefix, const std::string &after) const;
    /// Objects with the prefix that changed after the version, removed ones without a value.
    nlohmann::json changesAfter(const std::string &prefix, std::uint64_t version) const;

private:
    std::map<std::string, TableEntry> entries;
    std::uint64_t lastVersion = 0;
};

} // namespace Godwitfork
