#include "LibGateway/SessionVersions.h"

#include "LibCore/Digest.h"

namespace Godwitfork
{

std::uint64_t sessionHash(std::string_view session)
{
    return hash64(session);
}

SessionVersions::SessionVersions(Duration lifetime) : lifetime(lifetime)
{
}

void SessionVersions::record(const std::string &service, std::uint64_t session, const std::string &version, MonotonicTime now)
{
    this->services[service][session] = {version, now, true};
}

void SessionVersions::recordReported(const std::string &service, const SessionPin &pin, MonotonicTime now)
{
    const MonotonicTime lastUse = now - pin.idle;
    const auto [known, isNew] = this->services[service].try_emplace(pin.session, Entry {pin.version, lastUse, false});
    if (!isNew && known->second.lastUse < lastUse) {
        known->second = {pin.version, lastUse, false};
    }
}

std::optional<std::string> SessionVersions::find(const std::string &service, std::uint64_t session, MonotonicTime now) const
{
    const auto sessions = this->services.find(service);
    if (sessions == this->services.end()) {
        return std::nullopt;
    }
    const auto entry = sessions->second.find(session);
    if (entry == sessions->second.end() || now - entry->second.lastUse > this->lifetime) {
        return std::nullopt;
    }
    return entry->second.version;
}

std::vector<SessionPin> SessionVersions::pins(const std::string &service, double share, MonotonicTime now) const
{
    std::vector<SessionPin> pins;
    const auto sessions = this->services.find(service);
    if (sessions == this->services.end()) {
        return pins;
    }
    for (const auto &[session, entry] : sessions->second) {
        if (entry.isOwn && hashFraction(session) < share && now - entry.lastUse <= this->lifetime) {
            pins.push_back({session, entry.version, now - entry.lastUse});
        }
    }
    return pins;
}

void SessionVersions::prune(MonotonicTime now)
{
    for (auto &[service, sessions] : this->services) {
        std::erase_if(sessions, [&](const auto &entry) { return now - entry.second.lastUse > this->lifetime; });
    }
}

std::size_t SessionVersions::size() const
{
    std::size_t total = 0;
    for (const auto &[service, sessions] : this->services) {
        total += sessions.size();
    }
    return total;
}

} // namespace Godwitfork
