#pragma once

#include "LibCore/Random.h"
#include "LibEntry/EntrySettings.h"
#include "LibGateway/Catalog.h"
#include "LibGateway/EndpointChooser.h"
#include "LibGateway/EndpointRegistry.h"
#include "LibGateway/ModelCascade.h"
#include "LibGateway/PeerReport.h"
#include "LibGateway/RouteTable.h"
#include "LibGateway/StoreProbe.h"
#include "LibGateway/VersionPolicy.h"
#include "LibRouting/RetryBudget.h"

#include <map>
#include <memory>
#include <string>

namespace Godwitfork
{

/// What one entry process believes. Only the process's one thread touches it.
struct EntryState {
    explicit EntryState(EntrySettings settings);

    EntrySettings settings;
    /// Null until a configuration was read from the store.
    std::shared_ptr<const RouteTable> routes;
    MonotonicTime routesSince;
    EndpointRegistry endpoints;
    bool endpointsKnown = false;
    /// Endpoints that left lately, for the other instances.
    std::vector<std::pair<LeavingEndpoint, MonotonicTime>> recentlyLeft;
    VersionPolicy versions;
    bool rolloutsKnown = false;
    /// The configuration in force as the store holds it.
    std::string configurationSource;
    EndpointChooser chooser;
    ConfidenceGains confidenceGains;
    /// By service.
    std::map<std::string, RetryBudget> retryBudgets;
    StoreProbe storeProbe;
    /// Another instance that reads the store itself answered lately.
    bool hearsPeers = false;
    RandomSource random;
    bool stopping = false;

    /// Whether everything that a decision needs was read from the store.
    bool isInformed() const;
    bool isReady() const;
    RetryBudget &retryBudget(const std::string &service);
    /// Retries that each service is allowed besides its share of requests, at this instance.
    void setRetryAllowance(double allowance);
    /// Adds this instance's requests and retries to what it tells the others.
    void addRetryUses(ServiceStatisticsMap &paces, MonotonicTime now) const;
    /// Lets this instance use a part of what all instances together have left of their retries.
    void shareSpareRetries(const ServiceStatisticsMap &pacesOfAll, int instances);

private:
    void applyRetryRule(const std::string &service, RetryBudget &budget);

    double retryAllowance = 0;
    /// By service.
    std::map<std::string, double> spares;
};

} // namespace Godwitfork
