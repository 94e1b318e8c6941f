#include "LibGateway/SessionVersions.h"

namespace Godwitfork
{

namespace
{
std::string keyOf(const std::string &service, const std::string &session)
{
    return service + '\n' + session;
}
} // namespace

SessionVersions::SessionVersions(Duration lifetime) : lifetime(lifetime)
{
}

void SessionVersions::record(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now)
{
    this->entries[keyOf(service, session)] = {version, now};
}

std::optional<std::string> SessionVersions::find(const std::string &service, const std::string &session, MonotonicTime now) const
{
    const auto entry = this->entries.find(keyOf(service, session));
    if (entry == this->entries.end() || now - entry->second.lastUse > this->lifetime) {
        return std::nullopt;
    }
    return entry->second.version;
}

void SessionVersions::prune(MonotonicTime now)
{
    std::erase_if(this->entries, [&](const auto &entry) { return now - entry.second.lastUse > this->lifetime; });
}

std::size_t SessionVersions::size() const
{
    return this->entries.size();
}

} // namespace Godwitfork
