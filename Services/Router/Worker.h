#pragma once

#include "ControlPlane.h"
#include "EndpointPool.h"
#include "LibAdmission/TokenBucket.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "LibRouting/RetryBudget.h"
#include "Metrics.h"
#include "PoolAdmissionController.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace Godwitfork
{

/// State that the request handlers of one traffic thread share. Only `settings`, `control`, `status` and `metrics` are shared
/// with other threads.
struct Worker {
    Worker(const RouterSettings &settings, ControlPlane &control, RouterStatus &status, Metrics &metrics);

    const RouterSettings &settings;
    ControlPlane &control;
    RouterStatus &status;
    Metrics &metrics;
    /// Declared before `context`, because coroutines that are destroyed with the context still remove their requests from the
    /// endpoint table.
    EndpointPool pool;
    /// Retry budgets by client account.
    std::map<std::string, RetryBudget> retryBudgets;
    /// Token buckets of the request rate limit by client account.
    std::map<std::string, TokenBucket> rateLimits;
    boost::asio::io_context context {1};
    /// Admission controllers by `model:version`.
    std::map<std::string, std::shared_ptr<PoolAdmissionController>> admissionControllers;
    HttpClient client;
    RandomSource random;
    /// Newest configuration; null until the first one arrives. Handlers copy the pointer, so that a request uses one revision at
    /// a time.
    SnapshotPointer snapshot;

    /// Returns the admission controller of the pool for the `model:version` in `servedName`; created on first use.
    std::shared_ptr<PoolAdmissionController> findOrCreateAdmissionController(const std::string &servedName);
};

} // namespace Godwitfork
