#pragma once

#include "ControlPlane.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "Metrics.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"

#include <boost/asio/io_context.hpp>

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
    boost::asio::io_context context {1};
    HttpClient client;
    RandomSource random;
    /// Null until the first configuration arrives. Handlers copy the pointer, so that a request sees one revision at a time.
    SnapshotPointer snapshot;
};

} // namespace Godwitfork
