#pragma once

#include "LibCore/Time.h"
#include "LibGateway/EndpointRegistry.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What an endpoint last said of its request rate, as reported to other instances.
struct EndpointLimitReport {
    std::string endpoint;
    std::int64_t incarnation = 0;
    /// Requests a second from all instances together; empty if the endpoint no longer names a limit.
    std::optional<double> requestsPerSecond;
    /// Time since the answer that said so.
    Duration age = Duration::zero();

    auto operator<=>(const EndpointLimitReport &) const = default;
};

/// What one incarnation of an endpoint has said of itself, as this instance knows it.
struct AnnouncedState {
    std::int64_t incarnation = 0;
    /// Time at which the endpoint first told this instance that it is leaving; empty if it has not.
    std::optional<MonotonicTime> leavingSince;
    /// End of the time for which the endpoint wants no request of this instance.
    MonotonicTime closedUntil;
    /// Requests a second from all instances together; empty if the endpoint names no limit, or no longer.
    std::optional<double> requestsPerSecond;
    /// Time of the newest answer that said so, of this or another instance.
    MonotonicTime observedAt;
    /// Whether this instance received that answer.
    bool isOwnObservation = false;
    /// Position of this instance among the live ones for this endpoint; the first few share the limit.
    std::optional<int> rank;
    int instances = 1;
    /// Earliest time of this instance's next request to the endpoint, by its limit or after the end of a closed time.
    MonotonicTime nextRequest;

    auto operator<=>(const AnnouncedState &) const = default;
};

enum class LimitChange { None, Named, Changed, Lifted };

const char *limitChangeName(LimitChange change);

/// What the endpoints say of themselves in their answers, and what follows for the requests of this instance. An endpoint that is leaving gets none any
/// more, whatever the store lists, and one that is closed none until its time is over. The requests of all instances to an endpoint with a limit stay
/// within it: a few instances, chosen for each endpoint, send it requests at equal shares of the limit, the others none.
class EndpointAnnouncements
{
public:
    /// Records what an answer of the endpoint said and returns what changed by it.
    LimitChange record(const std::string &endpoint, std::int64_t incarnation, std::optional<double> requestsPerSecond, MonotonicTime now);
    /// Record that an endpoint is leaving, or that it wants no request of this instance for some time. Return whether that was not known.
    bool recordLeaving(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now);
    bool recordClosed(const std::string &endpoint, std::int64_t incarnation, Duration closedFor, MonotonicTime now);
    /// Merges what other instances observed; the newest observation of an incarnation holds.
    void merge(const std::vector<EndpointLimitReport> &reports, MonotonicTime now);
    /// Returns what this instance has observed lately.
    std::vector<EndpointLimitReport> report(MonotonicTime now) const;
    /// Sets this instance's position among the live ones for an endpoint, and their number.
    void setRank(const std::string &endpoint, int rank, int instances, MonotonicTime now);

    /// Time until this instance may send the endpoint a request; zero if it may now, maximal if it is leaving or if other instances send them.
    Duration timeToRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now) const;
    /// Records a request to the endpoint.
    void recordRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now);
    /// Removes states of which no instance has heard for long.
    void prune(MonotonicTime now);
    const std::map<std::string, AnnouncedState> &states() const;

private:
    const AnnouncedState *find(const std::string &endpoint, std::int64_t incarnation) const;
    /// Returns the state of an incarnation, a new one if it was unknown; null if a later incarnation is known.
    AnnouncedState *stateOf(const std::string &endpoint, std::int64_t incarnation);

    std::map<std::string, AnnouncedState> known;
};

/// Number of instances that share an endpoint's limit. Each has one request to send at once, so that their number is bounded by what the
/// endpoint bears beyond its limit.
int sharingInstances(double requestsPerSecond, int instances);

/// Adds reports to a list; of an endpoint with several, the newest one is kept.
void addLimitReports(std::vector<EndpointLimitReport> &total, const std::vector<EndpointLimitReport> &added, Duration age);

} // namespace Godwitfork
