#pragma once

#include "LibCore/Time.h"
#include "LibGateway/Catalog.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Godwitfork
{

/// Item that was not understood.
struct IgnoredItem {
    /// Kind of store object, or "peer" for a message of another instance.
    std::string source;
    ItemFault fault = ItemFault::None;
    /// Name of the item, or address of the instance; empty if unknown.
    std::string name;
    CatalogRevision revision = 0;
    std::string problem;
    std::uint64_t count = 1;
};

/// Counts items that were not understood, and limits how many of them are logged.
class IgnoredItems
{
public:
    /// Counts an item, `count` times. Returns whether it is to be logged.
    bool record(const std::string &source, ItemFault fault, std::uint64_t count, MonotonicTime now);
    /// Numbers of items by source and name of the fault.
    const std::map<std::pair<std::string, std::string>, std::uint64_t> &counts() const;
    /// Returns the number of items not logged since the last call and resets it.
    std::uint64_t takeUnlogged();

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counted;
    MonotonicTime loggedUntil;
    std::uint64_t unlogged = 0;
};

/// Counts an item that was not understood and logs it at a bounded rate.
void recordIgnored(IgnoredItems &items, const IgnoredItem &item, MonotonicTime now);

} // namespace Godwitfork
