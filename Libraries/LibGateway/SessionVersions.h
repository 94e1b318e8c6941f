#pragma once

#include "LibCore/Time.h"
#include "LibGateway/PeerReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwitfork
{

/// Hash of a session's name, by which instances refer to it in reports.
std::uint64_t sessionHash(std::string_view session);

/// Versions on which open sessions run, by service and session.
class SessionVersions
{
public:
    /// Creates an empty table; a session ends when no request of it is recorded for `lifetime`.
    explicit SessionVersions(Duration lifetime);

    /// Records a request of this instance and the version that it ran on.
    void record(const std::string &service, std::uint64_t session, const std::string &version, MonotonicTime now);
    /// Records what another instance reported of a session, unless a later request is known.
    void recordReported(const std::string &service, const SessionPin &pin, MonotonicTime now);
    /// Returns the version of a session; empty if the session is unknown or has ended.
    std::optional<std::string> find(const std::string &service, std::uint64_t session, MonotonicTime now) const;
    /// Returns the open sessions of a service whose hash fraction is below `share` and whose last request this instance served.
    std::vector<SessionPin> pins(const std::string &service, double share, MonotonicTime now) const;
    /// Removes sessions that have ended.
    void prune(MonotonicTime now);
    std::size_t size() const;

private:
    struct Entry {
        std::string version;
        MonotonicTime lastUse;
        /// Whether the last known request was served by this instance.
        bool isOwn = true;
    };

    Duration lifetime;
    std::map<std::string, std::unordered_map<std::uint64_t, Entry>> services;
};

} // namespace Godwitfork
