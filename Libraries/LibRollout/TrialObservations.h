#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Ratio of the time of an answer to the expected one above which it counts as slow.
constexpr double slowFactor = 3;

/// Times of answers relative to the expected ones, as sums of natural logarithms. Counts only grow.
struct RelativeTimes {
    std::int64_t answers = 0;
    /// Sum of the logarithms, in thousandths.
    std::int64_t logSum = 0;
    /// Sum of the squares of the logarithms, in thousandths.
    std::int64_t logSquareSum = 0;

    RelativeTimes &operator+=(const RelativeTimes &other);
    auto operator<=>(const RelativeTimes &) const = default;
};

/// Adds an answer that took `relativeTime` times as long as expected.
void recordTime(RelativeTimes &times, double relativeTime);

/// Mean of the logarithms; 0 without answers.
double meanLog(const RelativeTimes &times);

/// Numbers of answers of one version, or of that version on one route or endpoint.
struct AnswerCounts {
    std::int64_t answers = 0;
    std::int64_t failures = 0;
    /// Number of timed answers that took several times the expected time.
    std::int64_t slow = 0;
    RelativeTimes times = {};

    AnswerCounts &operator+=(const AnswerCounts &other);
    auto operator<=>(const AnswerCounts &) const = default;
};

/// Answers that one instance has counted for a candidate under trial and for the stable versions that it replaces. Counts only grow.
struct TrialObservations {
    std::map<std::string, AnswerCounts> candidateByRoute;
    std::map<std::string, AnswerCounts> candidateByEndpoint;
    std::map<std::string, AnswerCounts> stableByRoute;

    TrialObservations &operator+=(const TrialObservations &other);
    auto operator<=>(const TrialObservations &) const = default;
};

struct AnswerObservation {
    std::string route;
    std::string endpoint;
    bool isCandidate = false;
    bool isFailure = false;
    /// Whether the request belongs to no session, so that it ran on the candidate in a pulse, at an endpoint that the pulse loads.
    bool isWithoutSession = false;
};

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer);
/// Records that an answer that was counted as a success when it began has failed since.
void recordLateFailure(TrialObservations &observations, const AnswerObservation &answer);
/// Records how long an answer took relative to the expected time; `answer` tells whose answer it is.
void recordAnswerTime(TrialObservations &observations, const AnswerObservation &answer, double relativeTime);

/// Sums of all answers of a trial.
struct TrialTotals {
    AnswerCounts candidate;
    AnswerCounts stable;
};

TrialTotals totals(const TrialObservations &observations);

/// Difference between the mean logarithms of the candidate's and the stable versions' relative times.
struct Slowdown {
    double difference = 0;
    /// Standard error of the difference.
    double error = 0;

    auto operator<=>(const Slowdown &) const = default;
};

/// Returns the candidate's slowdown; empty if either version has too few answers.
std::optional<Slowdown> slowdown(const RelativeTimes &candidate, const RelativeTimes &stable);

} // namespace Godwitfork
