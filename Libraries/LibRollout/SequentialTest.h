#pragma once

#include <array>
#include <compare>
#include <cstdint>

namespace Godwitfork
{

constexpr int ratingBinCount = 20;

/// Number of ratings in each of the equally wide bins of [0, 1].
using RatingCounts = std::array<std::int64_t, ratingBinCount>;

int ratingBin(double rating);

/// What the stable version shows under the same traffic.
struct ReferenceQuality {
    RatingCounts ratings = {};
    double errorRate = 0;

    auto operator<=>(const ReferenceQuality &) const = default;
};

/// Ratings and answers of a candidate since the last observation.
struct CandidateObservation {
    RatingCounts ratings = {};
    std::int64_t answers = 0;
    std::int64_t errors = 0;

    auto operator<=>(const CandidateObservation &) const = default;
};

/// Log-likelihood ratios of "bad" against "good". Good means ratings distributed as the stable version's; bad means a mean
/// rating that is lower by a quarter, or an error rate above
/// the stable version's by a stated factor.
struct SequentialTest {
    double ratingEvidence = 0;
    double errorEvidence = 0;
    /// The same ratios, reset to 0 whenever they fall below it (Page's test), so that a long good time does not delay
    /// the detection of a later change.
    double ratingAlarm = 0;
    double errorAlarm = 0;

    auto operator<=>(const SequentialTest &) const = default;
};

enum class TestVerdict { Undecided, Good, Bad };

/// Wald's sequential probability ratio test with 1 % false alarms over both measures and 1 % missed bad versions.
SequentialTest observe(SequentialTest test, const ReferenceQuality &reference, const CandidateObservation &observation);
/// Bad if either measure is bad, good if the ratings are good.
TestVerdict verdict(const SequentialTest &test);
/// Whether a version that was good may have turned bad.
bool hasAlarm(const SequentialTest &test);

/// Expected number of ratings until the verdict on a version whose rating fell by a quarter (Wald's approximation).
double expectedSampleNumber(const ReferenceQuality &reference);

} // namespace Godwitfork
