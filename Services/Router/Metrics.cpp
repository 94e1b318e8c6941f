#include "Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Godwitfork
{

namespace
{
const prometheus::Histogram::BucketBoundaries latencyBuckets {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120};

double toSeconds(Duration elapsed)
{
    return std::chrono::duration<double>(elapsed).count();
}
} // namespace

struct Metrics::State {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter().Name("godwitfork_requests_total").Help("Requests by route and result code").Register(this->registry);
    prometheus::Family<prometheus::Histogram> &latency =
        prometheus::BuildHistogram().Name("godwitfork_answer_seconds").Help("Time from the request to a point of its answer").Register(this->registry);
    prometheus::Histogram &firstByte = this->latency.Add({{"point", "first_byte"}}, latencyBuckets);
    prometheus::Histogram &completion = this->latency.Add({{"point", "end"}}, latencyBuckets);
    prometheus::Gauge &revision =
        prometheus::BuildGauge().Name("godwitfork_configuration_revision").Help("Configuration revision in force").Register(this->registry).Add({});
};

Metrics::Metrics() : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(const std::string &route, const std::string &code)
{
    this->state->requests.Add({{"route", route}, {"code", code}}).Increment();
}

void Metrics::observeFirstByte(Duration elapsed)
{
    this->state->firstByte.Observe(toSeconds(elapsed));
}

void Metrics::observeCompletion(Duration elapsed)
{
    this->state->completion.Observe(toSeconds(elapsed));
}

void Metrics::setRevision(double revision)
{
    this->state->revision.Set(revision);
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace Godwitfork
