#pragma once

#include "LibCore/Time.h"

#include <memory>
#include <string>

namespace Godwitfork
{

/// Gauge values of an entry process for one metrics page.
struct EntryGauges {
    double configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double endpoints = 0;
    bool isReady = false;
};

/// Metrics of one entry process in the Prometheus text format.
class EntryMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics();
    EntryMetrics(const EntryMetrics &) = delete;
    EntryMetrics &operator=(const EntryMetrics &) = delete;

    void recordRequest(const std::string &route, int status, bool callerGone, Duration elapsed);
    void recordFirstOutput(const std::string &route, Duration elapsed);
    std::string toText(const EntryGauges &gauges);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
