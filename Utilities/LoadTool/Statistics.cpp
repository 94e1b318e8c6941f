#include "Statistics.h"

#include <boost/histogram.hpp>

#include <cmath>

namespace Godwitfork
{

namespace
{
namespace BoostHistogram = boost::histogram;
using LogAxis = BoostHistogram::axis::regular<double, BoostHistogram::axis::transform::log>;
using Histogram = decltype(BoostHistogram::make_histogram(std::declval<LogAxis>()));

constexpr double lowestMicroseconds = 1;
constexpr double highestMicroseconds = 1e9;
/// log(1e9) / log(1.01): bins of 1 %.
constexpr unsigned bins = 2083;
} // namespace

struct LatencyHistogram::Data {
    Histogram histogram = BoostHistogram::make_histogram(LogAxis(bins, lowestMicroseconds, highestMicroseconds));
    std::int64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : data(std::make_unique<Data>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(Duration duration)
{
    this->data->histogram(static_cast<double>(duration.count()));
    ++this->data->count;
}

std::int64_t LatencyHistogram::count() const
{
    return this->data->count;
}

Duration LatencyHistogram::quantile(double share) const
{
    if (this->data->count == 0) {
        return {};
    }
    const double wanted = share * static_cast<double>(this->data->count);
    double cumulative = 0;
    // Includes the bins below and above the axis.
    for (const auto &&bin : BoostHistogram::indexed(this->data->histogram, BoostHistogram::coverage::all)) {
        const double content = static_cast<double>(*bin);
        if (content > 0 && cumulative + content >= wanted) {
            const double lower = std::max(0.0, bin.bin().lower());
            const double upper = std::min(highestMicroseconds, bin.bin().upper());
            const double position = std::max(0.0, wanted - cumulative) / content;
            return Duration(std::llround(lower + (upper - lower) * position));
        }
        cumulative += content;
    }
    return Duration(static_cast<Duration::rep>(highestMicroseconds));
}

VariantStatistics summarize(const Experiment &experiment, const std::vector<RequestResult> &results, std::size_t variant, int repetition)
{
    VariantStatistics statistics;
    statistics.variant = experiment.variants[variant].name;
    statistics.repetition = repetition;
    for (const RequestResult &result : results) {
        const bool otherRepetition = repetition >= 0 && result.repetition != repetition;
        if (result.variant != variant || otherRepetition || result.planned.at < experiment.warmup) {
            continue;
        }
        ++statistics.sent;
        ++statistics.codes[{result.status, result.code}];
        statistics.sendDelay.add(result.sendDelay);
        if (result.caller.outcome == CallerOutcome::Unknown) {
            ++statistics.unknown;
        } else if (result.caller.outcome == CallerOutcome::Refused) {
            ++statistics.refused;
            statistics.refusal.add(result.end);
        } else {
            ++statistics.answered;
            statistics.firstByte.add(result.firstByte);
            statistics.end.add(result.end);
            if (!result.planned.isLong) {
                statistics.shortEnd.add(result.end);
            }
            for (const Duration gap : result.tokenGaps) {
                statistics.tokenGap.add(gap);
            }
        }
    }
    return statistics;
}

} // namespace Godwitfork
