#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Godwitfork
{

/// Gauge values of an entry process for one metrics page.
struct EntryGauges {
    double configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double endpoints = 0;
    /// Time since the copy of each catalog kind was last known to match the store, by kind name.
    std::map<std::string, double> copyAgeSeconds;
    /// Bytes of requests and answers that are held, by use.
    std::map<std::string, double> memoryHeldBytes;
    bool isReady = false;
    /// Number of items that were not understood since the start, by source and cause.
    std::map<std::pair<std::string, std::string>, std::uint64_t> ignoredItems;
    /// Number of admission decisions since the start, by route and outcome.
    std::map<std::pair<std::string, std::string>, std::uint64_t> admissions;
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
    /// Counts an endpoint that was lost before it had output for a request to the service.
    void recordPromptCrash(const std::string &service);
    /// Counts a request to the service that was refused for a quarantined part of its prompt.
    void recordPromptRefusal(const std::string &service);
    /// Counts an answer in which an endpoint of the service said something new of itself; `kind` is "limit", "leaving" or "closed".
    void recordAnnouncement(const std::string &service, const char *kind);
    /// Counts a request that ended while the process stopped; `outcome` is "answered", "refused_late", "interrupted", "broken_off" or "caller_gone".
    void recordStopRequest(const char *outcome);
    /// Counts an attempt whose endpoint was silent beyond its limit; `action` is "cancelled" or "tolerated", `obstacle` what kept the request
    /// from going on elsewhere.
    void recordSilence(const std::string &route, const char *action, const char *obstacle);
    /// Counts bytes that were not held for lack of memory; `use` as in memoryUseName.
    void recordMemoryRefusal(const char *use);
    /// Sets the numbers of answers and of failures that this instance has counted for a version under trial.
    void setTrialAnswers(const std::string &service, const std::string &version, double answers, double failures);
    std::string toText(const EntryGauges &gauges);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
