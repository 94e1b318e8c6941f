#pragma once

#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Godwitfork
{

/// Versions on which recent sessions ran, by service.
class SessionVersions
{
public:
    /// Sessions whose requests follow each other within `lifetime` belong together.
    explicit SessionVersions(Duration lifetime);

    void record(const std::string &service, const std::string &session, const std::string &version, MonotonicTime now);
    /// Version of a session that is still open.
    std::optional<std::string> find(const std::string &service, const std::string &session, MonotonicTime now) const;
    /// Drops sessions that ended.
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
