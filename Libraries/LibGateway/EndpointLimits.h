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

/// Limit of one incarnation of an endpoint, as this instance knows it.
struct EndpointLimit {
    std::int64_t incarnation = 0;
    /// Empty if the endpoint no longer names a limit.
    std::optional<double> requestsPerSecond;
    /// Time of the newest answer that said so, of this or another instance.
    MonotonicTime observedAt;
    /// Whether this instance received that answer.
    bool isOwnObservation = false;
    /// Position of this instance among the live ones for this endpoint; the first few share the limit.
    std::optional<int> rank;
    int instances = 1;
    /// Earliest time of this instance's next request to the endpoint.
    MonotonicTime nextRequest;

    auto operator<=>(const EndpointLimit &) const = default;
};

enum class LimitChange { None, Named, Changed, Lifted };

const char *limitChangeName(LimitChange change);

/// Keeps the requests of all instances to an endpoint within the limit that it names in its answers. A few instances, chosen for each endpoint, send
/// it requests at equal shares of the limit; the others send none.
class EndpointLimits
{
public:
    /// Records what an answer of the endpoint said and returns what changed by it.
    LimitChange record(const std::string &endpoint, std::int64_t incarnation, std::optional<double> requestsPerSecond, MonotonicTime now);
    /// Merges what other instances observed; the newest observation of an incarnation holds.
    void merge(const std::vector<EndpointLimitReport> &reports, MonotonicTime now);
    /// Returns what this instance has observed lately.
    std::vector<EndpointLimitReport> report(MonotonicTime now) const;
    /// Sets this instance's position among the live ones for an endpoint, and their number.
    void setRank(const std::string &endpoint, int rank, int instances, MonotonicTime now);

    /// Time until this instance may send the endpoint a request; zero if it may now, maximal if other instances send them.
    Duration timeToRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now) const;
    /// Records a request to the endpoint.
    void recordRequest(const std::string &endpoint, std::int64_t incarnation, MonotonicTime now);
    /// Removes limits of which no instance has heard for long.
    void prune(MonotonicTime now);
    const std::map<std::string, EndpointLimit> &limits() const;

private:
    const EndpointLimit *find(const std::string &endpoint, std::int64_t incarnation) const;

    std::map<std::string, EndpointLimit> known;
};

/// Number of instances that share an endpoint's limit. Each has one request to send at once, so that their number is bounded by what the
/// endpoint bears beyond its limit.
int sharingInstances(double requestsPerSecond, int instances);

/// Adds reports to a list; of an endpoint with several, the newest one is kept.
void addLimitReports(std::vector<EndpointLimitReport> &total, const std::vector<EndpointLimitReport> &added, Duration age);

} // namespace Godwitfork
