#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Godwitfork
{

/// Number of equally wide bins for reported confidences in [0, 1].
constexpr int confidenceBinCount = 10;

/// Bin of a confidence. Values outside [0, 1] fall into the first or last bin, and NaN into the first.
int confidenceBin(double confidence);
/// Confidence at the centre of a bin.
double confidenceOfBin(int bin);

/// Condition of a rating estimate: the rating of `version` for the account and task class, given that `signalVersion` answered the same
/// request with a confidence in `bin`. The two versions are equal if an answer is estimated from its own confidence.
struct EstimateKey {
    std::string account;
    std::string taskClass;
    std::string version;
    std::string signalVersion;
    int bin = 0;

    auto operator<=>(const EstimateKey &) const = default;
};

/// Additive statistics of answers and ratings. The integers make sums exact, so that the order of merging cannot change a result.
struct RatingSums {
    std::int64_t answers = 0;
    std::int64_t ratings = 0;
    /// Sum of the ratings, in millionths.
    std::int64_t ratingMillionths = 0;

    auto operator<=>(const RatingSums &) const = default;
};

RatingSums sumOf(const RatingSums &left, const RatingSums &right);

using EstimateSums = std::map<EstimateKey, RatingSums>;

void addTo(EstimateSums &target, const EstimateSums &added);

} // namespace Godwitfork
