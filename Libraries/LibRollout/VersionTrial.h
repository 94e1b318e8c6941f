#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Godwitfork
{

/// Answers of one version, or of a part of it.
struct AnswerCounts {
    std::int64_t answers = 0;
    std::int64_t failures = 0;
    /// Answers that took several times the expected time.
    std::int64_t slow = 0;

    AnswerCounts &operator+=(const AnswerCounts &other);
    auto operator<=>(const AnswerCounts &) const = default;
};

/// What one instance has seen of a version under trial and of the versions it replaces. Counts only grow.
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

/// Whether the observations of all instances together show the candidate to be bad: failing or slow in total or on one
/// route, more often than the stable versions, and not at a single endpoint alone.
bool isCandidateBad(const TrialObservations &observations);

struct TrialLimits {
    Duration timeLimit = Duration::zero();
    /// Largest share of the service's requests that a bad candidate may get within the time limit.
    double exposureShare = 0.1;
};

/// Share of the sessions that run on the candidate at an age of the trial. It stays the same for the first half, so that no
/// session changes its version, and grows in two steps after it.
double candidateShare(const TrialLimits &limits, Duration age);

/// Whether sessions of the stable versions may move to the candidate.
bool maySessionsMove(const TrialLimits &limits, Duration age);

/// Whether the trial may be completed: everything runs on the candidate, and the stable endpoints' requests have ended or
/// the time limit is near.
bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning);

} // namespace Godwitfork
