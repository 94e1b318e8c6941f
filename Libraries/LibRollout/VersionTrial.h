#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

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
};

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer);
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

/// Whether the candidate is bad by the merged observations of all instances. It is bad if its share of failures or slow answers, in total
/// or on one route, exceeds a threshold above the stable versions' share, or if its answers take clearly longer than theirs, and if at least
/// two endpoints (or its only one) are affected.
bool isCandidateBad(const TrialObservations &observations);

/// Whether the candidate's answers so far suggest that it is bad, on less evidence than `isCandidateBad` requires. A request that failed on
/// a suspected candidate is retried on the stable version.
bool isCandidateSuspect(const TrialObservations &observations);

enum class TrialEvidence {
    /// Too few answers, or no clear difference.
    Undecided,
    /// The candidate is as fast as the stable versions and does not fail more often.
    Sound,
    /// The candidate is probably slower or fails more often, at several endpoints.
    Suspect,
};

const char *trialEvidenceName(TrialEvidence evidence);

/// Judges the merged observations of all instances on less evidence than `isCandidateBad` requires.
TrialEvidence trialEvidence(const TrialObservations &observations);

struct TrialLimits {
    /// Time within which the trial completes or is reverted.
    Duration timeLimit = Duration::zero();
    /// Largest share of the service's requests that a bad candidate may receive within the time limit, 0 to 1.
    double exposureShare = 0.1;
};

struct TrialProgress {
    /// Whether an instance took the last step, after which the stable versions have no requests to compare the candidate with.
    bool isAccepted = false;
    /// See `isExposureUsed`.
    bool isExposureUsed = false;

    auto operator<=>(const TrialProgress &) const = default;
};

/// Share of the sessions that run on the candidate at the trial's age, 0 to 1. It is constant for the first half of the time limit, so
/// that no session changes its version, and then grows in two steps. The first one is put off while the candidate has had its share of the
/// answers, the last one is taken once it is accepted, at the latest when a decision is due.
double candidateShare(const TrialLimits &limits, Duration age, const TrialProgress &progress);

/// Whether the candidate has had so many of the answers that its share must not grow before it is accepted.
bool isExposureUsed(const TrialLimits &limits, const TrialObservations &observations);

enum class TrialDecision {
    /// The trial goes on at the present share.
    Continue,
    /// All requests may run on the candidate.
    Accept,
    /// The candidate is taken back.
    Reject,
};

/// Decides on the last step. It needs evidence that the candidate is sound. Shortly before the time limit it is decided without: a candidate
/// that is suspect then is taken back.
TrialDecision decideTrial(const TrialLimits &limits, Duration age, TrialEvidence evidence);

/// Whether the instances may not have learned yet which sessions were open when the trial was ordered. Until then no session starts on the
/// candidate, since it may be open on the stable version at another instance.
bool isExchangingSessions(Duration age);

/// Whether sessions may move from the stable versions to the candidate at the trial's age.
bool maySessionsMove(const TrialLimits &limits, Duration age);

/// Whether the trial may be completed: all new requests run on the candidate, and either the stable endpoints have no requests left or the
/// time limit is near.
bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning);

} // namespace Godwitfork
