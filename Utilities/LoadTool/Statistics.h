#pragma once

#include "RunRecords.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

/// Histogram of durations from 1 µs to 1,000 s with bins of 1 % (Boost.Histogram).
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration duration);
    std::int64_t count() const;
    /// Value below which the given share of the durations lies, to about 1 %; zero if there are none.
    Duration quantile(double share) const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

/// Results of one variant, in one repetition or all of them.
struct VariantStatistics {
    std::string variant;
    /// -1 for all repetitions together.
    int repetition = -1;
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    /// Counts by HTTP status and code.
    std::map<std::pair<int, std::string>, std::int64_t> codes;
    LatencyHistogram sendDelay;
    /// Of answered requests.
    LatencyHistogram firstByte;
    LatencyHistogram tokenGap;
    LatencyHistogram end;
    /// Of answered requests that are not long jobs.
    LatencyHistogram shortEnd;
    /// Of refused requests.
    LatencyHistogram refusal;
};

/// Statistics of the results after the warm-up. `repetition` -1 takes all.
VariantStatistics summarize(const Experiment &experiment, const std::vector<RequestResult> &results, std::size_t variant, int repetition);

} // namespace Godwitfork
