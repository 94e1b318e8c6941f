#include "LibEntry/IgnoredItems.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Godwitfork
{

namespace
{
/// Pause between two log lines on items that were not understood.
constexpr Duration logInterval = std::chrono::seconds(1);
/// Part of a foreign text that is logged, in bytes.
constexpr std::size_t maxLoggedBytes = 100;
} // namespace

bool IgnoredItems::record(const std::string &source, ItemFault fault, std::uint64_t count, MonotonicTime now)
{
    this->counted[{source, itemFaultName(fault)}] += count;
    if (now < this->loggedUntil) {
        this->unlogged += count;
        return false;
    }
    this->loggedUntil = now + logInterval;
    return true;
}

const std::map<std::pair<std::string, std::string>, std::uint64_t> &IgnoredItems::counts() const
{
    return this->counted;
}

std::uint64_t IgnoredItems::takeUnlogged()
{
    return std::exchange(this->unlogged, 0);
}

void recordIgnored(IgnoredItems &items, const IgnoredItem &item, MonotonicTime now)
{
    if (!items.record(item.source, item.fault, item.count, now)) {
        return;
    }
    logEvent(LogLevel::Warning,
             "item.ignored",
             {{"source", item.source},
              {"name", item.name.substr(0, maxLoggedBytes)},
              {"cause", itemFaultName(item.fault)},
              {"revision", item.revision},
              {"problem", item.problem.substr(0, maxLoggedBytes)},
              {"count", item.count},
              {"unlogged", items.takeUnlogged()}});
}

} // namespace Godwitfork
