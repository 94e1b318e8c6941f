#include "LibEntry/CapacityLog.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Changes below this factor are not logged: the estimates of equal endpoints vary by some 15%.
constexpr double minLoggedFactor = 1.3;
/// Lines of one call, so that a change of all endpoints leaves room for other lines.
constexpr std::size_t maxLines = 10;
} // namespace

std::vector<CapacityGauge> capacityGauges(const EntryState &state, MonotonicTime now)
{
    std::vector<CapacityGauge> gauges;
    const EndpointLoads &loads = state.chooser.loads();
    if (!loads.learnsCapacity() || !state.routes) {
        return gauges;
    }
    for (const ServiceProperties &service : state.routes->configuration().services) {
        for (const EndpointEntry *endpoint : state.endpoints.ready(service.name)) {
            const EndpointLoad &load = loads.find(endpoint->id);
            gauges.push_back({service.name,
                              endpoint->id,
                              loads.relativeTime(load, now),
                              load.capacity.evidenceSeconds(now),
                              static_cast<double>(load.concurrentRequests())});
        }
    }
    return gauges;
}

void CapacityLog::logChanges(const EntryState &state, MonotonicTime now)
{
    struct Change {
        double factor = 1;
        CapacityGauge gauge;
    };
    std::vector<Change> changes;
    std::map<std::string, double> known;
    for (CapacityGauge &gauge : capacityGauges(state, now)) {
        const auto previous = this->logged.find(gauge.endpoint);
        const double logged = previous == this->logged.end() ? 1 : previous->second;
        known[gauge.endpoint] = logged;
        const double factor = std::exp(std::abs(std::log(gauge.relativeTime / logged)));
        if (factor >= minLoggedFactor) {
            changes.push_back({factor, std::move(gauge)});
        }
    }
    // Endpoints that have left are dropped.
    this->logged = std::move(known);
    std::sort(changes.begin(), changes.end(), [](const Change &left, const Change &right) { return left.factor > right.factor; });
    changes.resize(std::min(changes.size(), maxLines));
    for (const auto &[factor, gauge] : changes) {
        double &previous = this->logged[gauge.endpoint];
        logEvent(LogLevel::Info,
                 "endpoint.capacity",
                 {{"endpoint", gauge.endpoint},
                  {"service", gauge.service},
                  {"relative_time", gauge.relativeTime},
                  {"previous", previous},
                  {"evidence_s", gauge.evidenceSeconds},
                  {"running", gauge.running}});
        previous = gauge.relativeTime;
    }
}

} // namespace Godwitfork
