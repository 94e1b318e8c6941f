#pragma once

#include "ControlPlane.h"
#include "EndpointPool.h"
#include "LibAdmission/TokenBucket.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "LibRouting/RetryBudget.h"
#include "Metrics.h"
#include "PoolGate.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace Godwitfork
{

/// What the request handlers of one traffic thread work with. Everything but `control`, `status` and `metrics` belongs to
/// that thread alone.
struct Worker {
    Worker(const RouterSettings &settings, ControlPlane &control, RouterStatus &status, Metrics &metrics);

    const RouterSettings &settings;
    ControlPlane &control;
    RouterStatus &status;
    Metrics &metrics;
    /// Stands before `context`, because coroutines that end with it still take their requests off the table.
    EndpointPool pool;
    /// By client account.
    std::map<std::string, RetryBudget> retryBudgets;
    std::map<std::string, TokenBucket> rateLimits;
    boost::asio::io_context context {1};
    /// By `model:version`.
    std::map<std::string, std::shared_ptr<PoolGate>> gates;
    HttpClient client;
    RandomSource random;
    /// Null until the first configuration arrives. Handlers copy the pointer, so that a request sees one revision at a time.
    SnapshotPointer snapshot;

    /// Gate of the pool that serves `model:version`, made at its first use.
    std::shared_ptr<PoolGate> gateOf(const std::string &served);
};

} // namespace Godwitfork
