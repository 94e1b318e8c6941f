#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Godwitfork
{

/// Numbers of answers of one version, or of that version on one route or endpoint.
struct AnswerCounts {
    std::int64_t answers = 0;
    std::int64_t failures = 0;
    /// Number of answers that took several times the expected time.
    std::int64_t slow = 0;

    AnswerCounts &operator+=(const AnswerCounts &other);
    auto operator<=>(const AnswerCounts &) const = default;
};

/// Answers that one instance has counted for a candidate under trial and for the stable versions that it replaces. Counts only grow.
struct TrialObservations {
    std::map<std::string, AnswerCounts> candidateByRoute;
    std::map<std::string, AnswerCounts> candidateByEndpoint;
    AnswerCounts stable;

    TrialObservations &operator+=(const TrialObservations &other);
    auto operator<=>(const TrialObservations &) const = default;
};

struct AnswerObservation {
    std::string route;
    std::string endpoint;
    bool isCandidate = false;
    bool isFailure = false;
    bool isSlow = false;
};

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer);

/// Whether the candidate is bad by the merged observations of all instances. It is bad if its share of failures or slow answers, in total
/// or on one route, exceeds a threshold above the stable versions' share, and if at least two endpoints (or its only one) are affected.
bool isCandidateBad(const TrialObservations &observations);

/// Whether the candidate's answers so far suggest that it is bad, on less evidence than `isCandidateBad` requires. A request that failed on
/// a suspected candidate is retried on the stable version.
bool isCandidateSuspect(const TrialObservations &observations);

struct TrialLimits {
    /// Time within which the trial completes or is reverted.
    Duration timeLimit = Duration::zero();
    /// Largest share of the service's requests that a bad candidate may receive within the time limit, 0 to 1.
    double exposureShare = 0.1;
};

/// Share of the sessions that run on the candidate at the trial's age, 0 to 1. It is constant for the first half of the time limit, so
/// that no session changes its version, and then grows in two steps.
double candidateShare(const TrialLimits &limits, Duration age);

/// Whether the instances may not have learned yet which sessions were open when the trial was ordered. Until then no session starts on the
/// candidate, since it may be open on the stable version at another instance.
bool isExchangingSessions(Duration age);

/// Whether sessions may move from the stable versions to the candidate at the trial's age.
bool maySessionsMove(const TrialLimits &limits, Duration age);

/// Whether the trial may be completed: all new requests run on the candidate, and either the stable endpoints have no requests left or the
/// time limit is near.
bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning);

} // namespace Godwitfork
