#include "LibEntry/EntryMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Godwitfork
{

namespace
{
const prometheus::Histogram::BucketBoundaries latencyBuckets {0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5, 8, 12};

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}
} // namespace

struct EntryMetrics::State {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter().Name("godwitfork_entry_requests_total").Help("Requests by route and status").Register(this->registry);
    prometheus::Family<prometheus::Histogram> &elapsed =
        prometheus::BuildHistogram().Name("godwitfork_entry_request_seconds").Help("Time until the end of the answer").Register(this->registry);
    prometheus::Family<prometheus::Histogram> &firstOutput =
        prometheus::BuildHistogram().Name("godwitfork_entry_first_output_seconds").Help("Time until the first output").Register(this->registry);
    prometheus::Family<prometheus::Counter> &promptCrashes = prometheus::BuildCounter()
                                                                 .Name("godwitfork_entry_prompt_crashes_total")
                                                                 .Help("Endpoints lost before they had output, by service")
                                                                 .Register(this->registry);
    prometheus::Family<prometheus::Counter> &promptRefusals = prometheus::BuildCounter()
                                                                  .Name("godwitfork_entry_prompt_refusals_total")
                                                                  .Help("Requests refused for a quarantined prompt part, by service")
                                                                  .Register(this->registry);
    prometheus::Family<prometheus::Counter> &announcements = prometheus::BuildCounter()
                                                                 .Name("godwitfork_entry_endpoint_announcements_total")
                                                                 .Help("Answers in which an endpoint said something new of itself, by service and kind")
                                                                 .Register(this->registry);
    prometheus::Family<prometheus::Counter> &coldRequests = prometheus::BuildCounter()
                                                                .Name("godwitfork_entry_cold_requests_total")
                                                                .Help("Requests to endpoints that were not warm, by service and phase")
                                                                .Register(this->registry);
    prometheus::Family<prometheus::Counter> &coldRefusals = prometheus::BuildCounter()
                                                                .Name("godwitfork_entry_cold_refusals_total")
                                                                .Help("Requests left without an endpoint while cold ones could not take them, by service")
                                                                .Register(this->registry);
    prometheus::Family<prometheus::Counter> &stopRequests = prometheus::BuildCounter()
                                                                .Name("godwitfork_entry_stop_requests_total")
                                                                .Help("Requests that ended while the process stopped, by outcome")
                                                                .Register(this->registry);
    prometheus::Family<prometheus::Counter> &silences = prometheus::BuildCounter()
                                                            .Name("godwitfork_entry_endpoint_silences_total")
                                                            .Help("Attempts whose endpoint was silent beyond its limit, by route, action and obstacle")
                                                            .Register(this->registry);
    prometheus::Family<prometheus::Counter> &memoryRefusals = prometheus::BuildCounter()
                                                                  .Name("godwitfork_entry_memory_refusals_total")
                                                                  .Help("Bodies, answers and events that were not held for lack of memory, by use")
                                                                  .Register(this->registry);
    prometheus::Family<prometheus::Counter> &placementRefusals = prometheus::BuildCounter()
                                                                     .Name("godwitfork_entry_placement_refusals_total")
                                                                     .Help("Requests refused since placement allows no endpoint, by service and cause")
                                                                     .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &memoryHeld = prometheus::BuildGauge()
                                                            .Name("godwitfork_entry_memory_held_bytes")
                                                            .Help("Bytes of requests and answers that are held, by use")
                                                            .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &limitedClients = prometheus::BuildGauge()
                                                                .Name("godwitfork_entry_limited_clients")
                                                                .Help("Connections and requests ended by the limits of a listener since the start")
                                                                .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &trialAnswers = prometheus::BuildGauge()
                                                              .Name("godwitfork_entry_trial_answers")
                                                              .Help("Answers counted for a version under trial, by service, version and result")
                                                              .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &ignoredItems = prometheus::BuildGauge()
                                                              .Name("godwitfork_entry_ignored_items")
                                                              .Help("Store objects and items of peers that were not understood, by source and cause")
                                                              .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &capacities = prometheus::BuildGauge()
                                                            .Name("godwitfork_entry_endpoint_capacity")
                                                            .Help("Learned speed of endpoints, by service, endpoint and value")
                                                            .Register(this->registry);
    /// Gauges of `capacities` on the last page; those of endpoints that have left are removed.
    std::vector<prometheus::Gauge *> capacityGauges;
    prometheus::Family<prometheus::Gauge> &admissions =
        prometheus::BuildGauge().Name("godwitfork_entry_admissions").Help("Admission decisions since the start, by route and outcome").Register(this->registry);
    prometheus::Family<prometheus::Gauge> &gauges =
        prometheus::BuildGauge().Name("godwitfork_entry_belief").Help("What the process believes, by name").Register(this->registry);
};

EntryMetrics::EntryMetrics() : state(std::make_unique<State>())
{
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::recordRequest(const std::string &route, int status, bool callerGone, Duration elapsed)
{
    const std::string code = callerGone ? "caller_gone" : std::to_string(status);
    this->state->requests.Add({{"route", route}, {"status", code}}).Increment();
    this->state->elapsed.Add({{"route", route}}, latencyBuckets).Observe(toSeconds(elapsed));
}

void EntryMetrics::recordFirstOutput(const std::string &route, Duration elapsed)
{
    this->state->firstOutput.Add({{"route", route}}, latencyBuckets).Observe(toSeconds(elapsed));
}

void EntryMetrics::recordPromptCrash(const std::string &service)
{
    this->state->promptCrashes.Add({{"service", service}}).Increment();
}

void EntryMetrics::recordPromptRefusal(const std::string &service)
{
    this->state->promptRefusals.Add({{"service", service}}).Increment();
}

void EntryMetrics::recordAnnouncement(const std::string &service, const char *kind)
{
    this->state->announcements.Add({{"service", service}, {"kind", kind}}).Increment();
}

void EntryMetrics::recordColdRequest(const std::string &service, const char *phase)
{
    this->state->coldRequests.Add({{"service", service}, {"phase", phase}}).Increment();
}

void EntryMetrics::recordColdRefusal(const std::string &service)
{
    this->state->coldRefusals.Add({{"service", service}}).Increment();
}

void EntryMetrics::recordStopRequest(const char *outcome)
{
    this->state->stopRequests.Add({{"outcome", outcome}}).Increment();
}

void EntryMetrics::recordSilence(const std::string &route, const char *action, const char *obstacle)
{
    this->state->silences.Add({{"route", route}, {"action", action}, {"obstacle", obstacle}}).Increment();
}

void EntryMetrics::recordMemoryRefusal(const char *use)
{
    this->state->memoryRefusals.Add({{"use", use}}).Increment();
}

void EntryMetrics::recordPlacementRefusal(const std::string &service, const char *cause)
{
    this->state->placementRefusals.Add({{"service", service}, {"cause", cause}}).Increment();
}

void EntryMetrics::setTrialAnswers(const std::string &service, const std::string &version, double answers, double failures)
{
    this->state->trialAnswers.Add({{"service", service}, {"version", version}, {"result", "all"}}).Set(answers);
    this->state->trialAnswers.Add({{"service", service}, {"version", version}, {"result", "failure"}}).Set(failures);
}

void EntryMetrics::setCapacities(const std::vector<CapacityGauge> &capacities)
{
    for (prometheus::Gauge *gauge : this->state->capacityGauges) {
        this->state->capacities.Remove(gauge);
    }
    this->state->capacityGauges.clear();
    for (const CapacityGauge &capacity : capacities) {
        const std::pair<const char *, double> values[] = {
            {"relative_time", capacity.relativeTime}, {"evidence_seconds", capacity.evidenceSeconds}, {"running", capacity.running}};
        for (const auto &[name, value] : values) {
            prometheus::Gauge &gauge = this->state->capacities.Add({{"service", capacity.service}, {"endpoint", capacity.endpoint}, {"value", name}});
            gauge.Set(value);
            this->state->capacityGauges.push_back(&gauge);
        }
    }
}

std::string EntryMetrics::toText(const EntryGauges &gauges)
{
    this->state->gauges.Add({{"name", "configuration_version"}}).Set(gauges.configurationVersion);
    this->state->gauges.Add({{"name", "configuration_age_seconds"}}).Set(gauges.configurationAgeSeconds);
    this->state->gauges.Add({{"name", "endpoints"}}).Set(gauges.endpoints);
    this->state->gauges.Add({{"name", "cold_endpoints"}}).Set(gauges.coldEndpoints);
    this->state->gauges.Add({{"name", "evacuated_domains"}}).Set(gauges.evacuatedDomains);
    for (const auto &[kind, age] : gauges.copyAgeSeconds) {
        this->state->gauges.Add({{"name", kind + "_copy_age_seconds"}}).Set(age);
    }
    for (const auto &[use, bytes] : gauges.memoryHeldBytes) {
        this->state->memoryHeld.Add({{"use", use}}).Set(bytes);
    }
    for (const auto &[listener, counters] : gauges.listeners) {
        const std::map<std::string, std::uint64_t> counts = {{"evicted", counters.evictedConnections},
                                                             {"connections", counters.refusedConnections},
                                                             {"memory", counters.refusedRequests},
                                                             {"slow", counters.slowRequests},
                                                             {"oversized", counters.oversizedRequests}};
        for (const auto &[cause, count] : counts) {
            this->state->limitedClients.Add({{"listener", listener}, {"cause", cause}}).Set(static_cast<double>(count));
        }
    }
    this->state->gauges.Add({{"name", "ready"}}).Set(gauges.isReady ? 1 : 0);
    for (const auto &[key, count] : gauges.ignoredItems) {
        this->state->ignoredItems.Add({{"source", key.first}, {"cause", key.second}}).Set(static_cast<double>(count));
    }
    this->setCapacities(gauges.capacities);
    for (const auto &[key, count] : gauges.admissions) {
        this->state->admissions.Add({{"route", key.first}, {"outcome", key.second}}).Set(static_cast<double>(count));
    }
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace Godwitfork
