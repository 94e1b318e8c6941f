#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwitfork
{

/// Hash of an endpoint's id. Reports between instances refer to endpoints by it, since an id takes several times as many bytes.
using EndpointKey = std::uint32_t;

EndpointKey endpointKey(std::string_view id);

enum class EndpointState { Ready, Draining };

/// Registration of one incarnation of an endpoint.
struct EndpointEntry {
    std::string id;
    std::string service;
    HttpAddress address;
    std::string failureDomain;
    /// Version of the service that the endpoint runs.
    std::string version;
    /// Number of requests that the endpoint runs at once.
    int slots = 1;
    EndpointState state = EndpointState::Ready;
    /// Start time of the endpoint in milliseconds since 1970, which distinguishes incarnations with the same id; 0 if unknown.
    std::int64_t incarnation = 0;
    /// Number of the registration's last renewal.
    std::int64_t sequence = 0;
    /// Time for which the endpoint stays cold after that renewal; zero if it is warm.
    Duration coldRemaining = Duration::zero();

    auto operator<=>(const EndpointEntry &) const = default;
};

enum class EndpointChangeKind { Added, Restarted, Draining, Changed, Removed, Held };

struct EndpointChange {
    EndpointChangeKind kind = EndpointChangeKind::Added;
    EndpointEntry endpoint;

    auto operator<=>(const EndpointChange &) const = default;
};

const char *endpointChangeName(EndpointChangeKind kind);

/// Whether live endpoints may be missing from the store's list.
struct SnapshotTrust {
    /// End of the last store outage, in which registrations may have expired; empty if there was none. Missing endpoints are kept until they
    /// had time to register again.
    std::optional<MonotonicTime> outageEndedAt;

    auto operator<=>(const SnapshotTrust &) const = default;
};

/// Endpoints of all services, built from the platform store's list of registrations and its changes.
class EndpointRegistry
{
public:
    /// Creates an empty registry; `reregistrationTime` is the time within which live endpoints register again after a store outage.
    explicit EndpointRegistry(Duration reregistrationTime);

    std::vector<EndpointChange> replaceAll(const std::vector<EndpointEntry> &entries, SnapshotTrust trust, MonotonicTime now);
    std::vector<EndpointChange> put(const EndpointEntry &entry, MonotonicTime now);
    std::vector<EndpointChange> remove(const std::string &id, SnapshotTrust trust, MonotonicTime now);
    /// Marks an incarnation as draining that another instance reports as leaving. Has no effect if the store confirmed the registration
    /// within the confirmation period and still has it.
    std::vector<EndpointChange> markLeaving(const std::string &id, std::int64_t incarnation, MonotonicTime now);
    /// Returns the endpoints that are draining according to the store, without those marked by `markLeaving`.
    std::vector<const EndpointEntry *> draining() const;
    /// Removes the endpoints that did not register again within the re-registration time after an outage.
    std::vector<EndpointChange> expire(MonotonicTime now);

    const EndpointEntry *find(const std::string &id) const;
    /// Finds an endpoint by the key that reports use; null if it is unknown.
    const EndpointEntry *findByKey(EndpointKey key) const;
    /// Returns all endpoints of a service, draining ones included, ordered by id.
    std::vector<const EndpointEntry *> ofService(const std::string &service) const;
    /// Returns the endpoints of a service that accept new requests, ordered by id.
    std::vector<const EndpointEntry *> ready(const std::string &service) const;
    std::size_t size() const;

private:
    struct Registration;

    std::map<std::string, Registration>::iterator erase(std::map<std::string, Registration>::iterator position);
    bool hold(Registration &registration, SnapshotTrust trust, MonotonicTime now, std::vector<EndpointChange> &changes) const;

    struct Registration {
        EndpointEntry entry;
        /// Time at which the store last listed or changed the registration.
        MonotonicTime lastConfirmed;
        /// Whether the endpoint is draining according to another instance only.
        bool isMarkedByPeer = false;
        /// Time of the removal; set while the entry is missing from the store after an outage.
        std::optional<MonotonicTime> removeAt;
    };

    Duration reregistrationTime;
    std::map<std::string, Registration> registrations;
    std::unordered_map<EndpointKey, std::string> idsByKey;
};

} // namespace Godwitfork
