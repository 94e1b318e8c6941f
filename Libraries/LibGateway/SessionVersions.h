#pragma once

#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Godwitfork
{

/// Versions on which open sessions run, by service and session.
class SessionVersions
{
public:
    /// Creates an empty table; a session ends when no request of it is recorded for `lifetime`.
    explicit SessionVersions(Duration lifetime);

    /// Records a request of a session and the version that it runs on.
    void record(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now);
    /// Returns the version of a session; empty if the session is unknown or has ended.
    std::optional<std::string> find(const std::string &service, const std::string &session, MonotonicTime now) const;
    /// Removes sessions that have ended.
    void prune(MonotonicTime now);
    std::size_t size() const;

private:
    struct Entry {
        std::string version;
        MonotonicTime lastUse;
    };

    Duration lifetime;
    std::unordered_map<std::string, Entry> entries;
};

} // namespace Godwitfork
