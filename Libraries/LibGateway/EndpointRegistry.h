#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class EndpointState { Ready, Draining };

/// One incarnation of an endpoint as it registered itself.
struct EndpointEntry {
    std::string id;
    std::string service;
    HttpAddress address;
    std::string failureDomain;
    /// Version of the service that it runs.
    std::string version;
    int slots = 1;
    EndpointState state = EndpointState::Ready;
    /// Milliseconds since 1970 of its start; tells incarnations with the same id apart. 0 if it is not known.
    std::int64_t incarnation = 0;

    auto operator<=>(const EndpointEntry &) const = default;
};

enum class EndpointChangeKind { Added, Restarted, Draining, Changed, Removed, Held };

struct EndpointChange {
    EndpointChangeKind kind = EndpointChangeKind::Added;
    EndpointEntry endpoint;

    auto operator<=>(const EndpointChange &) const = default;
};

const char *endpointChangeName(EndpointChangeKind kind);

/// Whether endpoints that are alive may be missing from what the store says.
enum class SnapshotTrust {
    Complete,
    /// Registrations may have lapsed while the store was away; missing endpoints are kept for a while.
    AfterOutage,
};

/// Endpoints of all services, from the platform's list and its changes.
class EndpointRegistry
{
public:
    /// `returnTime` is the time within which live endpoints register again after a store outage.
    explicit EndpointRegistry(Duration returnTime);

    std::vector<EndpointChange> replaceAll(const std::vector<EndpointEntry> &entries, SnapshotTrust trust, MonotonicTime now);
    std::vector<EndpointChange> put(const EndpointEntry &entry, MonotonicTime now);
    std::vector<EndpointChange> remove(const std::string &id, SnapshotTrust trust, MonotonicTime now);
    /// Another instance saw this incarnation leave. Of no effect if the store confirmed it just now.
    std::vector<EndpointChange> markLeaving(const std::string &id, std::int64_t incarnation, MonotonicTime now);
    /// Endpoints that are draining by the store's own word.
    std::vector<const EndpointEntry *> draining() const;
    /// Removes endpoints that did not register again in time.
    std::vector<EndpointChange> expire(MonotonicTime now);

    const EndpointEntry *find(const std::string &id) const;
    /// Endpoints of a service that take new work, in the order of their ids.
    std::vector<const EndpointEntry *> ready(const std::string &service) const;
    std::size_t size() const;

private:
    struct Registration;

    bool hold(Registration &registration, SnapshotTrust trust, MonotonicTime now, std::vector<EndpointChange> &changes) const;

    struct Registration {
        EndpointEntry entry;
        /// Last word of the store about it.
        MonotonicTime confirmed;
        /// Draining by the word of another instance.
        bool isMarked = false;
        /// Set while the entry is missing from a list read after an outage.
        std::optional<MonotonicTime> removeAt;
    };

    Duration returnTime;
    std::map<std::string, Registration> registrations;
};

} // namespace Godwitfork
