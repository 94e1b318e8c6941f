#pragma once

#include <array>
#include <compare>
#include <cstdint>

namespace Godwitfork
{

constexpr int ratingBinCount = 20;

/// Number of ratings in each of `ratingBinCount` equally wide bins of [0, 1].
using RatingCounts = std::array<std::int64_t, ratingBinCount>;

/// Bin of a rating. Values outside [0, 1] fall into the first or last bin, and NaN into the first.
int ratingBin(double rating);

/// Ratings and error rate of the stable version under the same traffic.
struct ReferenceQuality {
    RatingCounts ratings = {};
    /// Share of answers that are errors, 0 to 1.
    double errorRate = 0;

    auto operator<=>(const ReferenceQuality &) const = default;
};

/// Ratings and answers of a candidate since the previous observation.
struct CandidateObservation {
    RatingCounts ratings = {};
    std::int64_t answers = 0;
    std::int64_t errors = 0;

    auto operator<=>(const CandidateObservation &) const = default;
};

/// State of a sequential probability ratio test: log-likelihood ratios of the hypothesis "bad" against "good". A good version has the
/// stable version's distribution of ratings and its error rate. A bad version has a mean rating that is lower by a quarter, or an error
/// rate of four times the stable version's plus 2 %.
struct SequentialTest {
    double ratingEvidence = 0;
    double errorEvidence = 0;
    /// Cumulative sums of the same ratios with a lower bound of 0 (CUSUM, Page's test), so that a long good period does not delay the
    /// detection of a later change.
    double ratingAlarm = 0;
    double errorAlarm = 0;

    auto operator<=>(const SequentialTest &) const = default;
};

enum class TestVerdict { Undecided, Good, Bad };

/// Adds an observation to Wald's sequential probability ratio test. Its boundaries are set for 1 % of false alarms over both measures and
/// 1 % of missed bad versions.
SequentialTest addObservation(SequentialTest test, const ReferenceQuality &reference, const CandidateObservation &observation);
/// Decision of the test: bad if the ratings or the errors are bad, otherwise good if the ratings are good.
TestVerdict verdict(const SequentialTest &test);
/// Whether a cumulative sum has reached the upper boundary, also if the version was good before.
bool hasAlarm(const SequentialTest &test);

/// Expected number of ratings until the decision on a version whose mean rating is lower by a quarter (Wald's approximation).
double expectedSampleNumber(const ReferenceQuality &reference);

} // namespace Godwitfork
