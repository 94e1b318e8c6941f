#pragma once

#include "LibColdStart/ColdStarts.h"
#include "LibCore/LogRateLimiter.h"
#include "LibCore/MemoryBudget.h"
#include "LibCore/Random.h"
#include "LibEntry/EntrySettings.h"
#include "LibEntry/IgnoredItems.h"
#include "LibEntry/RequestsInProgress.h"
#include "LibGateway/Catalog.h"
#include "LibGateway/CatalogFreshness.h"
#include "LibGateway/EndpointAnnouncements.h"
#include "LibGateway/EndpointChooser.h"
#include "LibGateway/EndpointRegistry.h"
#include "LibGateway/ModelCascade.h"
#include "LibGateway/PeerReport.h"
#include "LibGateway/PromptQuarantine.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/StopRules.h"
#include "LibGateway/StoreProbe.h"
#include "LibGateway/VersionPolicy.h"
#include "LibOverload/OverloadControl.h"
#include "LibPlacement/Placement.h"
#include "LibRouting/RetryBudget.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Requests that a stop of the process refused or ended.
struct StopCounts {
    int refusedLate = 0;
    int interrupted = 0;

    auto operator<=>(const StopCounts &) const = default;
};

/// Routing state of one entry process. Not thread-safe: accessed only by the process's single thread.
struct EntryState {
    explicit EntryState(EntrySettings settings);

    EntrySettings settings;
    /// Account of the bytes of requests and answers that this instance holds.
    MemoryBudget memory;
    /// Routes of the configuration in force; null until one was read from the store.
    std::shared_ptr<const RouteTable> routes;
    MonotonicTime routesAdoptedAt;
    EndpointRegistry endpoints;
    bool endpointsKnown = false;
    /// Endpoints removed within the retention time, with the time of removal; reported to the other instances.
    std::vector<std::pair<LeavingEndpoint, MonotonicTime>> recentlyRemoved;
    VersionPolicy versions;
    bool rolloutsKnown = false;
    /// Whether evacuations are read from the store; decided at the start.
    bool followsEvacuations = false;
    bool evacuationsKnown = false;
    FailureDomains failureDomains;
    /// Serialised store object of the configuration in force.
    std::string configurationSource;
    EndpointChooser chooser;
    EndpointAnnouncements announcements;
    /// Starts of endpoints, and this instance's shares in the requests to cold ones.
    ColdStarts coldStarts;
    /// Time until which further malformed header values of endpoints are not logged.
    MonotonicTime malformedHeadersLoggedUntil;
    /// Store objects and items of other instances' messages that were not understood.
    IgnoredItems ignoredItems;
    ConfidenceGains confidenceGains;
    PromptQuarantine promptQuarantine;
    /// Retry budget of each service, by service name.
    std::map<std::string, RetryBudget> retryBudgets;
    OverloadControl overload;
    /// Limits the log lines on admission decisions, so that overload does not displace other lines.
    LogRateLimiter overloadLog;
    StoreProbe storeProbe;
    /// Freshness of this instance's copy of each catalog kind.
    std::map<CatalogKind, CatalogFreshness> freshness;
    /// Time at which another instance first reported a configuration newer than the one in force; empty if there is none.
    std::optional<MonotonicTime> newerConfigurationHeardAt;
    RandomSource random;
    RequestsInProgress requests;
    /// Times of the stop of the process; empty before it.
    std::optional<StopSchedule> stop;
    StopCounts stopCounts;

    /// Kinds of store object that this instance keeps up to date.
    std::vector<CatalogKind> followedKinds() const;
    /// Whether every kind that is followed has been read from the store.
    bool hasLoadedCatalog() const;
    /// Whether new callers may be sent to this instance.
    bool isReady(MonotonicTime now) const;
    /// Replaces the settings. What the retry budgets have counted stays; their limits follow the new settings.
    void adoptSettings(EntrySettings newSettings);
    /// Limits on the age of this instance's copy of the catalog.
    CatalogLimits catalogLimits() const;
    RetryBudget &retryBudget(const std::string &service);
    /// Sets the retries that this instance allows each service in addition to the ratio of its requests.
    void setRetryAllowance(double allowance);
    /// Adds the requests and retries counted by this instance's retry budgets to `paces`, which are reported to other instances.
    void addRetryCounts(ServiceStatisticsMap &paces, MonotonicTime now) const;
    /// Gives this instance an extra allowance from the part of the fleet's retry budgets that is unused.
    void distributeUnusedRetries(const ServiceStatisticsMap &pacesOfAll, int instances);

private:
    void applyRetryRule(const std::string &service, RetryBudget &budget);

    /// Retries in each window that this instance allows a service in addition to the ratio, before the reserve is taken off.
    double retryAllowance = 0;
    /// Extra retry allowance from the fleet's unused budget, by service name.
    std::map<std::string, double> unusedRetries;
};

} // namespace Godwitfork
