#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

/// Learned capacity of one endpoint.
struct CapacityGauge {
    std::string service;
    std::string endpoint;
    /// Time that it takes relative to the service's mean.
    double relativeTime = 1;
    /// Weight of the evidence for it, in seconds that the observed requests were expected to take.
    double evidenceSeconds = 0;
    /// Requests of all instances in progress.
    double running = 0;
};

/// Gauge values of an entry process for one metrics page.
struct EntryGauges {
    double configurationVersion = 0;
    double configurationAgeSeconds = 0;
    double endpoints = 0;
    /// Number of endpoints that are, or may be, cold.
    double coldEndpoints = 0;
    double evacuatedDomains = 0;
    /// Time since the copy of each catalog kind was last known to match the store, by kind name.
    std::map<std::string, double> copyAgeSeconds;
    /// Bytes of requests and answers that are held, by use.
    std::map<std::string, double> memoryHeldBytes;
    /// What each listener did to stay within its limits, by its name.
    std::map<std::string, HttpServerCounters> listeners;
    bool isReady = false;
    /// Number of items that were not understood since the start, by source and cause.
    std::map<std::pair<std::string, std::string>, std::uint64_t> ignoredItems;
    std::vector<CapacityGauge> capacities;
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
    /// Counts a request to an endpoint that is not warm; `phase` as in coldPhaseName.
    void recordColdRequest(const std::string &service, const char *phase);
    /// Counts a request that was sent to no endpoint while cold ones could not take it.
    void recordColdRefusal(const std::string &service);
    /// Counts a request that ended while the process stopped; `outcome` is "answered", "refused_late", "interrupted", "broken_off" or "caller_gone".
    void recordStopRequest(const char *outcome);
    /// Counts an attempt whose endpoint was silent beyond its limit; `action` is "cancelled" or "tolerated", `obstacle` what kept the request
    /// from going on elsewhere.
    void recordSilence(const std::string &route, const char *action, const char *obstacle);
    /// Counts bytes that were not held for lack of memory; `use` as in memoryUseName.
    void recordMemoryRefusal(const char *use);
    /// Counts a request to the service that was refused since placement allows none of its endpoints; `cause` as in placementObstacleName.
    void recordPlacementRefusal(const std::string &service, const char *cause);
    /// Sets the numbers of answers and of failures that this instance has counted for a version under trial.
    void setTrialAnswers(const std::string &service, const std::string &version, double answers, double failures);
    std::string toText(const EntryGauges &gauges);

private:
    void setCapacities(const std::vector<CapacityGauge> &capacities);

    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
