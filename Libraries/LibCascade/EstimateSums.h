#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Godwitfork
{

/// Number of equally wide bins of a reported confidence in [0, 1].
constexpr int confidenceBinCount = 10;

/// Bin of a confidence; values outside [0, 1] fall into the first or last bin.
int confidenceBin(double confidence);
/// Centre of a bin.
double confidenceOfBin(int bin);

/// What a rating estimate is conditional on: the rating of `version` for the account and task class, given that
/// `signalVersion` answered the same request with a confidence in `bin`. Both versions are equal for the estimate of an
/// answer from its own confidence.
struct EstimateKey {
    std::string account;
    std::string taskClass;
    std::string version;
    std::string signalVersion;
    int bin = 0;

    auto operator<=>(const EstimateKey &) const = default;
};

/// Additive statistics. Integers make sums exact, so that the order of merging cannot change a result.
struct RatingSums {
    std::int64_t answers = 0;
    std::int64_t ratings = 0;
    /// Sum of ratings in millionths.
    std::int64_t ratingMillionths = 0;

    auto operator<=>(const RatingSums &) const = default;
};

RatingSums sumOf(const RatingSums &left, const RatingSums &right);

using EstimateSums = std::map<EstimateKey, RatingSums>;

void addTo(EstimateSums &target, const EstimateSums &added);

} // namespace Godwitfork
